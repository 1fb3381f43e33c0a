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
package org.quilldyke.daemon.routing;

import java.util.ArrayList;
import java.util.List;
import org.quilldyke.control.Configuration;
import org.quilldyke.engine.TargetRecord;
import org.quilldyke.instance.InstanceTable;

/**
 * What is known of the cell at one moment; made by the control thread, read by all others.
 *
 * @param configuration the configuration in force
 * @param targets the live targets
 * @param standing how this instance stands towards the others
 * @param ready whether requests may be served
 * @param leaving whether this instance is shutting down
 */
public record CellView(
        Configuration configuration,
        List<TargetRecord> targets,
        InstanceTable.Status standing,
        boolean ready,
        boolean leaving) {

    /** Returns the view of an instance that knows nothing yet. */
    public static CellView empty() {
        return new CellView(
                Configuration.empty(), List.of(), InstanceTable.Status.STARTING, false, false);
    }

    /** Returns the engines that may answer for a model. */
    public List<TargetRecord> enginesFor(Configuration.Model model) {
        List<TargetRecord> found = new ArrayList<>();
        for (TargetRecord target : targets) {
            if (target.kind() == TargetRecord.Kind.ENGINE
                    && target.service().equals(model.service())
                    && target.model().equals(model.name())
                    && model.accepts(target.weights())
                    && isInUse(target)) {
                found.add(target);
            }
        }
        return found;
    }

    /** Returns the targets of a plain service. */
    public List<TargetRecord> targetsOf(String service) {
        List<TargetRecord> found = new ArrayList<>();
        for (TargetRecord target : targets) {
            if (target.kind() == TargetRecord.Kind.SERVICE
                    && target.service().equals(service)
                    && isInUse(target)) {
                found.add(target);
            }
        }
        return found;
    }

    /** Returns whether any live target, in use or not, belongs to a plain service. */
    public boolean knowsService(String service) {
        for (TargetRecord target : targets) {
            if (target.kind() == TargetRecord.Kind.SERVICE && target.service().equals(service)) {
                return true;
            }
        }
        return false;
    }

    /** Returns a live target, or null. */
    public TargetRecord find(String id) {
        for (TargetRecord target : targets) {
            if (target.id().equals(id)) {
                return target;
            }
        }
        return null;
    }

    private boolean isInUse(TargetRecord target) {
        return !target.leaving() && !configuration.isRetired(target.id());
    }
}
