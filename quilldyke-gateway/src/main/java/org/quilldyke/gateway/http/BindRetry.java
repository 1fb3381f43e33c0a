/*
 * Copyright 2026 The quilldyke authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *     http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.quilldyke.gateway.http;

import java.util.concurrent.TimeUnit;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * Retries to bind an address that is in use: the process that this one replaces may not have closed
 * its sockets yet.
 */
public final class BindRetry {
    /** An address that is in use for longer belongs to another program. */
    static final long MAX_WAIT_MILLIS = 2000;

    private static final long RETRY_MILLIS = 50;

    private BindRetry() {}

    /**
     * Binds an address; blocks while it is in use.
     *
     * @param bind tries to bind it once
     * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if it stays in use
     */
    public static <T> T bind(Bind<T> bind) throws QuilldykeException {
        long waitedMillis = 0;
        while (true) {
            try {
                return bind.tryBind();
            } catch (QuilldykeException e) {
                if (e.code() != ResultCode.ADDRESS_IN_USE || waitedMillis >= MAX_WAIT_MILLIS) {
                    throw e;
                }
            }
            try {
                TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            waitedMillis += RETRY_MILLIS;
        }
    }

    /**
     * An attempt to bind an address.
     *
     * @param <T> what is bound
     */
    public interface Bind<T> {
        /**
         * Binds the address.
         *
         * @throws QuilldykeException {@link ResultCode#ADDRESS_IN_USE} if it is in use
         */
        T tryBind() throws QuilldykeException;
    }
}
