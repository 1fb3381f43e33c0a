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
package org.quilldyke.daemon.control;

import org.quilldyke.QuilldykeException;

/**
 * The state that a replicated log makes: the same commands in the same order make the same state.
 *
 * <p>All calls come on the control thread.
 *
 * @param <R> what a command results in
 */
public interface ReplicatedMachine<R> {
    /**
     * Applies a committed command.
     *
     * @param index the entry's index
     * @param command the command's bytes
     * @throws QuilldykeException if the bytes are no command, or an invariant breaks
     */
    R apply(long index, byte[] command) throws QuilldykeException;

    /** Returns the whole state as bytes. */
    byte[] snapshot();

    /**
     * Replaces the state.
     *
     * @param snapshot the bytes of {@link #snapshot}, or none for the state before any command
     * @throws QuilldykeException if the bytes are no snapshot
     */
    void restore(byte[] snapshot) throws QuilldykeException;
}
