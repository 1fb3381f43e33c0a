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
package org.quilldyke.gateway.dialect;

import java.util.OptionalDouble;

/**
 * What an answer says of its target's limit.
 *
 * @param isRead whether it says something, or nothing; not if that can't be understood
 * @param perSecond requests a second from all instances together, empty if none are named
 */
public record LimitFact(boolean isRead, OptionalDouble perSecond) {
    /** Returns that no limit is named. */
    public static LimitFact none() {
        return new LimitFact(true, OptionalDouble.empty());
    }

    /** Returns a limit. */
    public static LimitFact of(double perSecond) {
        return new LimitFact(true, OptionalDouble.of(perSecond));
    }

    /** Returns that what is named is no limit. */
    public static LimitFact unreadable() {
        return new LimitFact(false, OptionalDouble.empty());
    }
}
