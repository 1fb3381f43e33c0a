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
package org.quilldyke.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.quilldyke.gateway.instance.proto.CacheNews;

class UnreachableHoldersTest {
    private final UnreachableHolders mHolders = new UnreachableHolders();

    @Test
    void partitionOfThisProcessIsNotPublishedAsFailureOfAllHolders() {
        mHolders.onUnreachable(unreachable("a"));
        mHolders.onUnreachable(unreachable("b"));

        assertThat(mHolders.onResponse("a")).containsExactly(unreachable("b"));
        assertThat(mHolders.onResponse("b")).isEmpty();
    }

    @Test
    void holderIsPublishedAsUnreachableOnceAnotherOneResponds() {
        mHolders.onUnreachable(unreachable("a"));

        assertThat(mHolders.onResponse("b")).containsExactly(unreachable("a"));
        assertThat(mHolders.onResponse("b")).isEmpty();
    }

    @Test
    void holderThatRespondsAgainIsNotPublished() {
        mHolders.onUnreachable(unreachable("a"));

        assertThat(mHolders.onResponse("a")).isEmpty();
    }

    private static CacheNews unreachable(String holder) {
        return CacheNews.newBuilder().setHolder(holder).setUp(false).build();
    }
}
