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

import java.util.List;

/** Renders the messages of a chat as the prompt that an engine completes. */
public final class ChatTemplate {
    private ChatTemplate() {}

    /**
     * Returns the prompt of a chat.
     *
     * @param messages the messages in order
     * @param continueLast whether the last message is to be continued rather than answered
     */
    public static String render(List<Message> messages, boolean continueLast) {
        StringBuilder text = new StringBuilder();
        int completeCount = continueLast ? messages.size() - 1 : messages.size();
        for (int i = 0; i < completeCount; i++) {
            Message message = messages.get(i);
            text.append("<|").append(message.role()).append("|>\n");
            text.append(message.content()).append('\n');
        }
        text.append("<|assistant|>\n");
        if (continueLast) {
            text.append(messages.get(completeCount).content());
        }
        return text.toString();
    }

    /**
     * One message of a chat.
     *
     * @param role the role of the author, such as user or assistant
     * @param content the text of the message
     */
    public record Message(String role, String content) {}
}
