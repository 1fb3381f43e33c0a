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

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quilldyke.gateway.instance.proto.CacheNews;

/** An entry that started knew nothing of caches until they changed. */
class CacheMirrorTest {
    private final CacheMirror mMirror = new CacheMirror();

    @Test
    void wholeIsWhatWasAddedAndNotRemoved() {
        mMirror.apply(news().addAdded(1).addAdded(2).build());
        mMirror.apply(news().addRemoved(1).addAdded(3).build());

        CacheNews whole = mMirror.whole().get(0);
        assertThat(whole.getWhole()).isTrue();
        assertThat(whole.getAddedList()).containsExactly(2L, 3L);
    }

    @Test
    void onlyWhatIsNewGoesOn() {
        mMirror.apply(news().addAdded(1).addAdded(2).build());

        assertThat(mMirror.apply(news().addAdded(1).addRemoved(9).build())).isEmpty();
        CacheNews changes = mMirror.apply(news().addAdded(1).addAdded(3).build()).get();
        assertThat(changes.getAddedList()).containsExactly(3L);
    }

    @Test
    void wholeNewsRemoveTheRest() {
        mMirror.apply(news().addAdded(1).addAdded(2).build());

        CacheNews changes = mMirror.apply(news().setWhole(true).addAdded(2).build()).get();

        assertThat(changes.getRemovedList()).containsExactly(1L);
        assertThat(changes.getAddedList()).isEmpty();
    }

    @Test
    void restartAndStandingAreNewsByThemselves() {
        mMirror.apply(news().addAdded(1).build());

        assertThat(mMirror.apply(news().setUp(false).build()).get().getUp()).isFalse();
        assertThat(mMirror.apply(news().setRestarted(true).build()).get().getRestarted()).isTrue();
        assertThat(mMirror.whole().get(0).getAddedList()).isEqualTo(List.of());
    }

    @Test
    void nothingIsKeptOfAnEarlierIncarnation() {
        mMirror.apply(news("i-1#5").addAdded(1).addAdded(2).build());

        mMirror.apply(news("i-1#7").addAdded(3).build());

        assertThat(mMirror.whole()).hasSize(1);
        assertThat(mMirror.whole().get(0).getHolder()).isEqualTo("i-1#7");
        assertThat(mMirror.whole().get(0).getAddedList()).containsExactly(3L);
    }

    @Test
    void lateNewsOfAnEarlierIncarnationGoNoFurther() {
        mMirror.apply(news("i-1#5").addAdded(1).build());
        assertThat(mMirror.onHolder("i-1#7")).isTrue();
        assertThat(mMirror.whole()).isEmpty();

        assertThat(mMirror.apply(news("i-1#5").addAdded(2).build())).isEmpty();
        assertThat(mMirror.onHolder("i-1#5")).isFalse();
        assertThat(mMirror.whole()).isEmpty();
    }

    @Test
    void endOfALaterIncarnationIsAlsoThatOfTheEarlier() {
        mMirror.apply(news("i-1#5").addAdded(1).build());

        mMirror.forget("i-1#7");

        assertThat(mMirror.whole()).isEmpty();
    }

    private static CacheNews.Builder news(String holder) {
        return CacheNews.newBuilder().setHolder(holder).setUp(true);
    }

    private static CacheNews.Builder news() {
        return news("i-1");
    }
}
