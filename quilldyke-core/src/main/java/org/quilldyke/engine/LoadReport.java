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

/**
 * An engine's report of its own load, which arrives with a delay.
 *
 * @param incarnation the {@link TargetRecord#incarnation()} of the engine that reports
 * @param running the number of requests in the batch
 * @param waiting the number of requests in the queue
 * @param queuedUnits prompt units of running and waiting requests that remain to be prefilled
 * @param accepted the number of requests accepted since the incarnation's start
 */
public record LoadReport(
        long incarnation, int running, int waiting, long queuedUnits, long accepted) {}
