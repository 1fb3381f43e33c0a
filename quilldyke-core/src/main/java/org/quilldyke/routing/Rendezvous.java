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
package org.quilldyke.routing;

import com.dynatrace.hash4j.hashing.Hashing;

/** Rendezvous hashing (Thaler and Ravishankar 1998): the node with the highest rank owns a key. */
public final class Rendezvous {
    private Rendezvous() {}

    /** Returns the rank of a node for a key, to be compared as unsigned. */
    public static long rank(long key, String node) {
        return rank(key, hash(node));
    }

    /** Returns the rank of a node for a key, given the node's {@link #hash}. */
    static long rank(long key, long nodeHash) {
        return Hashing.xxh3_64().hashLongLongToLong(key, nodeHash);
    }

    /** Returns the hash of a node's name, which may be cached. */
    static long hash(String node) {
        return Hashing.xxh3_64().hashCharsToLong(node);
    }
}
