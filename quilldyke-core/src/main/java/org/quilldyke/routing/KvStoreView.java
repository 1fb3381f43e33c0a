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

import java.util.List;
import java.util.Optional;
import org.quilldyke.manifest.Service;

/** The KV store as one instance sees it. */
final class KvStoreView {
    private final CacheView mCache = new CacheView();
    private final DelayTracker mDelay = new DelayTracker();
    private String mAddress = "";
    private String mFailureDomain = "";
    private boolean mReachable = true;

    /** Applies the services of the manifest, one of which may be a KV store. */
    void onServices(List<Service> services) {
        Optional<Service.KvStore> store =
                services.stream().flatMap(service -> service.kvStore().stream()).findFirst();
        mFailureDomain = store.map(Service.KvStore::failureDomain).orElse("");
        String address = store.map(Service.KvStore::address).orElse("");
        if (!address.equals(mAddress)) {
            mAddress = address;
            mCache.clear();
        }
    }

    String address() {
        return mAddress;
    }

    String failureDomain() {
        return mFailureDomain;
    }

    CacheView cache() {
        return mCache;
    }

    /**
     * Records the measured and the expected time to the first event of an answer whose prompt was
     * partly fetched from the store.
     */
    void onFirstEventAfterFetch(long measuredMillis, long expectedMillis, long now) {
        mDelay.onMeasured(measuredMillis, expectedMillis, now);
    }

    /** Returns how much later than expected first events arrive if the prompt is partly fetched. */
    double excessMillis(long now) {
        return mDelay.excessMillis(now);
    }

    /** Returns whether there is a store and it answers. */
    boolean isUsable() {
        return mReachable && !mAddress.isEmpty();
    }

    void onReachable(boolean reachable) {
        mReachable = reachable;
        if (!reachable) {
            mCache.clear();
        }
    }
}
