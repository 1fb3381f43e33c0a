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
package org.quilldyke.daemon.engine;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.promise.Promise;
import java.net.UnknownHostException;

/** A resolver for a system without names: it knows IP numbers only. */
public final class IpNumbers implements IDnsClient {
    private IpNumbers() {}

    /** Returns a resolver. */
    public static IpNumbers create() {
        return new IpNumbers();
    }

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
        DnsResponse number = IDnsClient.resolveFromQuery(query);
        return number != null
                ? Promise.of(number)
                : Promise.ofException(new UnknownHostException(query.getDomainName()));
    }

    @Override
    public void close() {
        // Holds nothing.
    }
}
