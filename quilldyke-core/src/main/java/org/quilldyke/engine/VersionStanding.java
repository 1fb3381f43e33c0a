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
package org.quilldyke.engine;

/** Whether streams may begin at a software version of a service, or may have begun there. */
public enum VersionStanding {
    /** Targets of the version serve. */
    SERVING {
        @Override
        public boolean mayBeginStreams() {
            return true;
        }
    },
    /** No target of the version was seen lately; its streams may still be resumed. */
    RETIRED {
        @Override
        public boolean mayBeginStreams() {
            return false;
        }
    },
    /** No stream that the version began can still be resumed. */
    REMOVED {
        @Override
        public boolean mayBeginStreams() {
            return false;
        }
    };

    /** Returns whether a resumable stream may begin at the version. */
    public abstract boolean mayBeginStreams();
}
