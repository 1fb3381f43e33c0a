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
package org.quilldyke.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ConfigurationTest {
    @Property(tries = 200, seed = "21")
    void deltaBringsAnyOlderVersionUpToDate(@ForAll long seed) {
        Random random = new Random(seed);
        Configuration newest = Configuration.empty();
        Configuration older = newest;
        int olderAt = random.nextInt(20);
        for (int i = 0; i < 20; i++) {
            if (i == olderAt) {
                older = newest;
            }
            newest = changed(newest, random);
        }
        long base = older.version() == 0 ? 0 : random.nextInt((int) older.version() + 1);

        assertThat(older.with(newest.since(base))).isEqualTo(newest);
        assertThat(newest.with(older.since(0))).isEqualTo(newest);
    }

    @Test
    void deltaStartingAfterTheVersionIsIgnored() {
        Configuration newest = Configuration.empty();
        for (int i = 0; i < 5; i++) {
            newest = newest.with(new Configuration.TargetPolicy("t" + i, true, 0));
        }

        assertThat(Configuration.empty().with(newest.since(3)).version()).isEqualTo(0);
    }

    private static Configuration changed(Configuration configuration, Random random) {
        String name = "n" + random.nextInt(5);
        return switch (random.nextInt(3)) {
            case 0 ->
                    configuration.with(
                            new Configuration.Organisation(
                                    name, List.of("h"), random.nextInt(9), 0));
            case 1 -> configuration.with(new Configuration.Model(name, "s", "w", "", 0));
            default ->
                    configuration.with(
                            new Configuration.TargetPolicy(name, random.nextBoolean(), 0));
        };
    }
}
