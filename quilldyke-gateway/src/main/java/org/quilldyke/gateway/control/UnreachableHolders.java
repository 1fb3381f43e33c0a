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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quilldyke.gateway.instance.proto.CacheNews;

/**
 * Holders of cached blocks that this process doesn't reach, kept until another holder responds.
 *
 * <p>Without a response of another one, this process may be partitioned from all of them, and
 * instances that reach them must not avoid them for that.
 */
final class UnreachableHolders {
    private final Map<String, CacheNews> mUnpublished = new LinkedHashMap<>();

    /** Records that a holder doesn't respond; {@code update} says so. */
    void onUnreachable(CacheNews update) {
        mUnpublished.put(update.getHolder(), update);
    }

    /**
     * Records a response of a holder.
     *
     * @return the updates on other holders that are to be published
     */
    List<CacheNews> onResponse(String holder) {
        mUnpublished.remove(holder);
        List<CacheNews> updates = List.copyOf(mUnpublished.values());
        mUnpublished.clear();
        return updates;
    }

    void clear() {
        mUnpublished.clear();
    }
}
