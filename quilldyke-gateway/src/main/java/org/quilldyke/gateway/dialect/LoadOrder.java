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
package org.quilldyke.gateway.dialect;

/**
 * An order to an engine to load weights.
 *
 * @param target the key of the engine that shall take it; one of another id refuses it
 * @param model the model
 * @param version the version of its weights
 * @param holder who gives the order
 * @param fence the holder's fencing number
 * @param revision the engine's revision that the order is based on; at another one it is refused
 */
public record LoadOrder(
        String target, String model, long version, String holder, long fence, long revision) {}
