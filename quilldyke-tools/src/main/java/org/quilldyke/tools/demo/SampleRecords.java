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
package org.quilldyke.tools.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/** The sample texts: a context that all prompts share, records, and short questions. */
public final class SampleRecords {
    private static final String[] QUESTIONS = {
        "Who holds title today, and by which instrument?",
        "List every easement in this chain with volume and page.",
        "Summarise the plat note in two plain sentences.",
        "Is there a gap between any two conveyances?",
        "Which call of the survey closes on the creek?"
    };

    private final String mContext;
    private final List<String> mRecords;

    private SampleRecords(String context, List<String> records) {
        mContext = context;
        mRecords = records;
    }

    /**
     * Reads the samples.
     *
     * @param folder holds {@code context.txt} and {@code record-*.txt}
     * @throws IOException if they can't be read
     */
    public static SampleRecords read(Path folder) throws IOException {
        List<String> records = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.sorted().toList()) {
                if (file.getFileName().toString().startsWith("record-")) {
                    records.add(Files.readString(file));
                }
            }
        }
        if (records.isEmpty()) {
            throw new IOException("no records in " + folder);
        }
        return new SampleRecords(Files.readString(folder.resolve("context.txt")), records);
    }

    /** Returns a prompt: the context, one of the records, and a question. */
    public String prompt(RandomGenerator random) {
        // The first record is asked for as often as all others together.
        int record = random.nextBoolean() ? 0 : random.nextInt(mRecords.size());
        String question = QUESTIONS[random.nextInt(QUESTIONS.length)];
        return mContext + mRecords.get(record) + "\nQuestion: " + question + "\nAnswer: ";
    }

    /** Returns the number of records. */
    public int size() {
        return mRecords.size();
    }
}
