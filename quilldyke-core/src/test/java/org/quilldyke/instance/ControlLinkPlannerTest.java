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

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ControlLinkPlannerTest {
    private static final String DOMAIN = "near";
    private static final long LOOK_MILLIS = 250;
    private static final long BEAT_MILLIS = 250;

    /** From the loss of all streams to a confirmation, however small the bound for changes is. */
    private static final long FOUND_MILLIS = 2000;

    private final Map<String, String> mDomains = new HashMap<>();
    private final Set<String> mAlive = new HashSet<>();
    private final Map<String, Long> mOpenedAt = new HashMap<>();
    private final List<String> mOpened = new ArrayList<>();
    private ControlLinkPlanner mPlanner;
    private int mMostLinks;
    private long mNow;

    @Test
    void entryFindsAControlProcessInTimeWhateverItLoses() {
        for (int seed = 0; seed < 2000; seed++) {
            Random random = new Random(seed);
            int losses = 1 + random.nextInt(2);
            List<String> members = start(random, 2 * losses + 1 + random.nextInt(4), losses);
            run(10_000);
            assertThat(mPlanner.unconfirmedMillis(mNow)).isLessThan(1000L);

            loseLinked(members, losses + random.nextInt(2));
            long lostAt = mNow;
            while (mPlanner.unconfirmedMillis(mNow) > mNow - lostAt - BEAT_MILLIS) {
                run(LOOK_MILLIS);
                assertThat(mNow - lostAt).isAtMost(FOUND_MILLIS + LOOK_MILLIS);
            }
            assertThat(mMostLinks).isAtMost(losses + ControlLinkPlanner.LINKS);
        }
    }

    @Test
    void eachAddressIsTriedBeforeAnyIsTriedAgain() {
        List<String> members = start(new Random(1), 8, 2);
        run(10_000);
        mAlive.clear();
        mOpened.clear();
        while (mOpened.size() < members.size() - ControlLinkPlanner.LINKS) {
            run(LOOK_MILLIS);
        }

        assertThat(mOpened).containsNoDuplicates();
    }

    @Test
    void silenceOfAllCostsFewConnections() {
        start(new Random(1), 8, 2);
        run(10_000);
        mAlive.clear();
        mOpened.clear();
        run(15_000);

        assertThat(mMostLinks).isEqualTo(4);
        assertThat(mOpened.size())
                .isAtMost(4 * 15_000 / (int) ControlLinkPlanner.UNCONFIRMED_MILLIS);
    }

    @Test
    void controlProcessInTheOwnDomainIsFoundWithoutLeavingAnyBefore() {
        List<String> members = start(new Random(1), 8, 2);
        mDomains.put(members.get(7), DOMAIN);
        mPlanner.onTold(members, mNow);
        run(3000);

        assertThat(mOpenedAt.keySet()).contains(members.get(7));
        assertThat(mOpenedAt).hasSize(ControlLinkPlanner.LINKS);
        mOpened.clear();
        run(10_000);
        assertThat(mOpened).isEmpty();
    }

    @Test
    void processThatOthersDontReachIsLeftAloneWhileOthersConfirm() {
        List<String> members = start(new Random(1), 5, 2);
        mDomains.put(members.get(0), DOMAIN);
        run(5000);
        mAlive.remove(members.get(0));
        run(10_000);
        mOpened.clear();
        run(60_000);

        assertThat(mOpened).isEmpty();
    }

    @Test
    void addressesOfMachinesThatAreGoneAreForgotten() {
        List<String> members = start(new Random(1), 5, 2);
        run(1000);
        for (int i = 0; i < 100; i++) {
            mPlanner.onTold(List.of("gone-" + i), mNow);
        }
        run(ControlLinkPlanner.FORGET_MILLIS + 10_000);

        assertThat(mPlanner.known()).isEqualTo(members.size());
    }

    @Test
    void searchOfManyEntriesSpreadsOverThoseThatAreLeft() {
        for (int entries : new int[] {87, 300}) {
            Map<String, Integer> opened = new HashMap<>();
            for (int entry = 0; entry < entries; entry++) {
                List<String> members = start(new Random(entry), 8, 2);
                run(10_000);
                mAlive.removeAll(List.of("control-0", "control-1", "control-2"));
                mOpened.clear();
                run(10_000);
                mOpened.stream()
                        .filter(mAlive::contains)
                        .forEach(address -> opened.merge(address, 1, Integer::sum));
                assertThat(members).hasSize(8);
            }
            System.out.printf("%d entries lose 3 of 8 control processes: %s%n", entries, opened);

            assertThat(opened).hasSize(5);
            int all = opened.values().stream().mapToInt(Integer::intValue).sum();
            assertThat(all).isAtMost(2 * entries);
            assertThat(Collections.max(opened.values())).isAtMost(2 * all / 5);
        }
    }

    /** Starts an entry that knows three seeds of a group whose members are in other domains. */
    private List<String> start(Random random, int members, int losses) {
        mDomains.clear();
        mAlive.clear();
        mOpenedAt.clear();
        mOpened.clear();
        mMostLinks = 0;
        mNow = random.nextInt(1000);
        List<String> all = new ArrayList<>();
        IntStream.range(0, members).mapToObj(i -> "control-" + i).forEach(all::add);
        Collections.shuffle(all, random);
        all.forEach(member -> mDomains.put(member, "far-" + member));
        mAlive.addAll(all);
        mPlanner = ControlLinkPlanner.create(DOMAIN, losses, random.nextInt(97), mNow);
        mPlanner.onSeeds(all.subList(0, Math.min(3, members)), mNow);
        return all;
    }

    /** Loses first those to which the entry has streams. */
    private void loseLinked(List<String> members, int count) {
        List<String> lost = new ArrayList<>(mOpenedAt.keySet());
        members.stream().filter(member -> !lost.contains(member)).forEach(lost::add);
        mAlive.removeAll(lost.subList(0, count));
    }

    private void run(long millis) {
        for (long until = mNow + millis; mNow < until; mNow += LOOK_MILLIS) {
            List<String> linked = List.copyOf(mOpenedAt.keySet());
            for (String address : linked) {
                if (mAlive.contains(address) && mNow - mOpenedAt.get(address) >= BEAT_MILLIS) {
                    mPlanner.onConfirmed(address, mNow - BEAT_MILLIS);
                    mPlanner.onTold(mAlive, mNow);
                    mPlanner.onDomain(address, mDomains.get(address), mNow);
                }
            }
            ControlLinkPlanner.Plan plan = mPlanner.plan(mNow);
            plan.close().forEach(mOpenedAt::remove);
            plan.open().forEach(address -> mOpenedAt.put(address, mNow));
            mOpened.addAll(plan.open());
            mMostLinks = Math.max(mMostLinks, mOpenedAt.size());
        }
    }
}
