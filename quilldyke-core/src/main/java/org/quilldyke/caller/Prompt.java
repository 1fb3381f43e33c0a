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
package org.quilldyke.caller;

import java.util.List;

/**
 * The prompt of a request, divided into the parts that requests may share.
 *
 * @param model the model that it is for
 * @param tokens the size of the whole prompt
 * @param maxOutputTokens the maximum number of generated tokens
 * @param parts the parts in order; all but the last may be shared with other requests
 */
public record Prompt(String model, int tokens, int maxOutputTokens, List<Part> parts) {
    /** Copies the parts. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests may share. */
    public List<Part> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /** Returns the number of tokens in the prompt and of tokens that may be generated. */
    public long totalTokens() {
        return (long) tokens + maxOutputTokens;
    }

    /** Returns the number of tokens in the parts that other requests may share. */
    public int sharedTokens() {
        return sharedParts().stream().mapToInt(Part::tokens).sum();
    }

    /**
     * A part of a prompt.
     *
     * @param id equal for equal parts
     * @param tokens its size
     */
    public record Part(long id, int tokens) {}
}
