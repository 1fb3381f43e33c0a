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
package org.quilldyke.testkit.engine;

/**
 * A language model of sorts: the next word follows from all the text before it.
 *
 * <p>So an answer is right or wrong, not just plausible: whoever knows the prompt knows each word,
 * and going on from a prompt plus the words so far gives the same words as not having stopped.
 */
public final class WordModel {
    private static final String[] WORDS = {
        "the ", "deed ", "parcel ", "was ", "conveyed ", "to ", "grantee ", "north ", "line ",
        "thence ", "along ", "creek ", "survey ", "lot ", "block ", "recorded ", "volume ", "page ",
        "of ", "county ", "plat ", "with ", "easement ", "for ", "road ", "order ", "basket ",
        "substitute ", "milk ", "bread ", "door ", "morning "
    };

    private static final long SEED = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private long mState = SEED;

    private WordModel() {}

    /** Returns the model after it has read {@code text}, in UTF-8. */
    public static WordModel after(byte[] text) {
        WordModel model = new WordModel();
        model.read(text);
        return model;
    }

    /** Returns the next word and reads it. */
    public String next() {
        long mixed = mState * 0x9e3779b97f4a7c15L;
        String word = WORDS[(int) ((mixed >>> 40) % WORDS.length)];
        for (int i = 0; i < word.length(); i++) {
            step((byte) word.charAt(i));
        }
        return word;
    }

    /** Returns the whole answer to a prompt. */
    public static String answer(byte[] prompt, int words) {
        WordModel model = after(prompt);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < words; i++) {
            text.append(model.next());
        }
        return text.toString();
    }

    private void read(byte[] text) {
        for (byte b : text) {
            step(b);
        }
    }

    private void step(byte b) {
        mState = (mState ^ (b & 0xff)) * PRIME;
    }
}
