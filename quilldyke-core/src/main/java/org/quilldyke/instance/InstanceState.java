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
package org.quilldyke.instance;

/**
 * The state of an instance, sent in each heartbeat.
 *
 * @param id the instance's id
 * @param failureDomain its failure domain
 * @param incarnation a number that grows with each start
 * @param configurationVersion the version of the configuration that it uses
 * @param leaderAgeMillis age of the latest contact with a control leader, direct or indirect
 * @param leaving whether it is shutting down
 * @param leader the id of the control leader that it knows, empty for none
 */
public record InstanceState(
        String id,
        String failureDomain,
        long incarnation,
        long configurationVersion,
        long leaderAgeMillis,
        boolean leaving,
        String leader) {}
