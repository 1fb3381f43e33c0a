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
package org.quilldyke.gateway.instance;

import java.util.ArrayList;
import java.util.List;
import org.quilldyke.engine.ServedVersion;
import org.quilldyke.engine.VersionHistory;
import org.quilldyke.engine.VersionStanding;

/** Encodes and decodes the recorded software versions for messages between instances. */
public final class VersionFrames {
    private VersionFrames() {}

    /** Encodes the recorded versions. */
    public static org.quilldyke.gateway.instance.proto.VersionHistory encode(
            VersionHistory history) {
        org.quilldyke.gateway.instance.proto.VersionHistory.Builder out =
                org.quilldyke.gateway.instance.proto.VersionHistory.newBuilder()
                        .setComplete(history.isComplete());
        for (ServedVersion served : history.served()) {
            out.addVersions(
                    org.quilldyke.gateway.instance.proto.ServedVersion.newBuilder()
                            .setService(served.service())
                            .setVersion(served.version())
                            .setRetired(served.standing() == VersionStanding.RETIRED));
        }
        return out.build();
    }

    /** Decodes the recorded versions. */
    public static VersionHistory decode(
            org.quilldyke.gateway.instance.proto.VersionHistory history) {
        List<ServedVersion> versions = new ArrayList<>();
        for (org.quilldyke.gateway.instance.proto.ServedVersion served :
                history.getVersionsList()) {
            VersionStanding standing =
                    served.getRetired() ? VersionStanding.RETIRED : VersionStanding.SERVING;
            versions.add(new ServedVersion(served.getService(), served.getVersion(), standing));
        }
        return VersionHistory.of(history.getComplete(), versions);
    }
}
