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
package org.quilldyke.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quilldyke.caller.Admission;
import org.quilldyke.caller.ForwardRequest;
import org.quilldyke.caller.Prompt;
import org.quilldyke.caller.RequestFingerprint;
import org.quilldyke.engine.TargetReport;
import org.quilldyke.manifest.Organisation;
import org.quilldyke.manifest.RequestKind;
import org.quilldyke.manifest.Route;
import org.quilldyke.manifest.Service;

class TargetBookTest {
    private static final Prompt PROMPT =
            new Prompt(
                    "m",
                    9000,
                    10,
                    List.of(
                            new Prompt.Part(1, 2500),
                            new Prompt.Part(2, 3800),
                            new Prompt.Part(3, 2700)));

    private final TargetBook mBook = TargetBook.create("z", 7500, new SplittableRandom(1));

    @BeforeEach
    void addEngines() {
        for (String id : List.of("a", "b", "c")) {
            mBook.onReport(report(id, 1));
        }
    }

    @Test
    void requestsForOneSubjectGoTogether() {
        Choice first = choose(0);
        for (int i = 0; i < 20; i++) {
            assertThat(choose(i).target()).isEqualTo(first.target());
        }
    }

    @Test
    void whatAnEngineKeepsIsNotReadAgain() {
        Choice before = choose(0);
        assertThat(before.cachedTokens()).isEqualTo(0);

        tellKept(before.target(), before.cacheSalt(), 1, 2);

        assertThat(choose(10).cachedTokens()).isEqualTo(6300);
        assertThat(choose(10).missingTokens()).isEqualTo(2700);
    }

    @Test
    void partsAreFetchedFromWhoeverKeepsMost() {
        Choice home = choose(0);
        String salt = home.cacheSalt();
        String other = home.target().equals("a") ? "b" : "a";
        tellKept(other, salt, 1);
        assertThat(choose(1, Set.of(other)).cacheSource()).isEqualTo(other + ":1");
        assertThat(choose(1, Set.of(other)).cachedTokens()).isEqualTo(2500);

        mBook.onServices(List.of(store()));
        tellKept("store:1", salt, 1, 2);

        assertThat(choose(2, Set.of(other)).cacheSource()).isEqualTo("store:1");
        assertThat(choose(2, Set.of(other)).cachedTokens()).isEqualTo(6300);
    }

    /** Another engine was asked for parts that it was only about to read: both then read them. */
    @Test
    void partsThatWereOnlySentAreNotFetchedYet() {
        Choice home = choose(0);
        mBook.onChosen(home, request(false), 0);
        assertThat(choose(1, Set.of(home.target())).cacheSource()).isEmpty();

        tellKept(home.target(), home.cacheSalt(), 1, 2);
        assertThat(choose(2, Set.of(home.target())).cacheSource()).isEqualTo(home.target() + ":1");
    }

    /** With many targets and few requests an instance opened a connection for each second one. */
    @Test
    void requestGoesWhereAConnectionIsFree() {
        for (String id : List.of("a", "b", "c")) {
            mBook.onFreeConnections(id, 1);
            Choice choice = choose(0);
            tellKept(id, choice.cacheSalt(), 1, 2);
            mBook.onFreeConnections(id, 0);
        }

        for (String id : List.of("b", "c", "a")) {
            mBook.onFreeConnections(id, 1);
            assertThat(choose(1).target()).isEqualTo(id);
            mBook.onFreeConnections(id, 0);
        }
    }

    /** An instance that knew one connection used one of two idle targets only, for good. */
    @Test
    void plainRequestsGoMostlyNotAlwaysWhereAConnectionIsFree() {
        mBook.onGone("c");
        mBook.onFreeConnections("a", 1);

        int connected = 0;
        for (int i = 0; i < 1000; i++) {
            connected += mBook.choose(plain(), Set.of(), 0).get().target().equals("a") ? 1 : 0;
        }

        assertThat(connected).isIn(Range.closed(800, 950));
    }

    /** It isn't worth reading thousands of tokens again, nor a late answer. */
    @Test
    void freeConnectionDoesNotOutweighWhatIsKeptOrALine() {
        Choice choice = choose(0);
        tellKept("a", choice.cacheSalt(), 1, 2);
        mBook.onFreeConnections("b", 1);
        assertThat(choose(1).target()).isEqualTo("a");

        tellKept("b", choice.cacheSalt(), 1, 2);
        mBook.onOthersLoad("b", 8, 20_000);
        assertThat(choose(2).target()).isEqualTo("a");
    }

    /** Bodies of 18 KB went to other domains for 20 ms less of a line: the dearest price there. */
    @Test
    void largeBodyStaysInItsDomainWhereASmallOneDoesNot() {
        mBook.onReport(
                new TargetReport("far", "s", "far:1", "y", "v", 64, false, 0, Map.of("m", 1L), 9));
        for (String near : List.of("a", "b", "c")) {
            mBook.onOthersLoad(near, 1, 6000);
        }
        ForwardRequest small = request(false, 100);
        ForwardRequest large = request(false, 18_000);
        for (String id : List.of("a", "b", "c", "far")) {
            tellKept(id, mBook.choose(small, Set.of(), 0).get().cacheSalt(), 1, 2);
        }

        assertThat(mBook.choose(small, Set.of(), 1).get().target()).isEqualTo("far");
        assertThat(mBook.choose(large, Set.of(), 1).get().target()).isNotEqualTo("far");
    }

    /** What an engine refused to read was taken for kept until the engine ended. */
    @Test
    void partsThatWereSentAndNeverKeptAreForgotten() {
        Choice home = choose(0);
        mBook.onChosen(home, request(false), 0);
        mBook.onPromptRead(home);
        mBook.onFinished(home);

        assertThat(choose(2900).cachedTokens()).isEqualTo(9000);
        assertThat(choose(3100).cachedTokens()).isEqualTo(0);
    }

    /** Prompts of one subject once spread over all engines, each with a copy of its parts. */
    @Test
    void copyIsMadeOnlyForABacklogThatCostsMore() {
        Choice home = choose(0);
        tellKept(home.target(), home.cacheSalt(), 1, 2);

        mBook.onOthersLoad(home.target(), 2, 8000);
        assertThat(choose(1).target()).isEqualTo(home.target());

        mBook.onOthersLoad(home.target(), 2, 30_000);
        assertThat(choose(2).target()).isNotEqualTo(home.target());
        assertThat(choose(2).cacheSource()).isEqualTo(home.target() + ":1");
    }

    /** Each engine in turn fetched a subject from the store, and kept a copy. */
    @Test
    void subjectIsBroughtBackToOneEngine() {
        String home = choose(0).target();
        mBook.onServices(List.of(store()));
        tellKept("store:1", choose(0).cacheSalt(), 1, 2);
        String back = choose(0).target();
        for (int i = 1; i < 20; i++) {
            mBook.onOthersLoad(home, i % 3, 1000 * (i % 3));
            assertThat(choose(i).target()).isEqualTo(back);
        }
    }

    @Test
    void waitForTheStoresLinkIsLearnt() {
        mBook.onServices(List.of(store()));
        tellKept("store:1", choose(0).cacheSalt(), 1, 2);
        Choice quick = choose(0);
        for (int i = 0; i < 5; i++) {
            mBook.onFirstEvent(quick, quick.expectedMillis() + 400, 10);
        }

        assertThat(choose(10).expectedMillis()).isAtLeast(quick.expectedMillis() + 300);
        assertThat(choose(20_000).expectedMillis()).isAtMost(quick.expectedMillis() + 1);
    }

    /** On a quiet day prompts were refused for the line at their home while others were free. */
    @Test
    void promptGoesElsewhereBeforeItsLineIsTooLong() {
        Choice home = choose(0);
        tellKept(home.target(), home.cacheSalt(), 1, 2);
        mBook.onOthersLoad(home.target(), 2, 20_000);

        Choice other = choose(1);

        assertThat(other.target()).isNotEqualTo(home.target());
        assertThat(other.admissionMillis()).isLessThan(100L);
    }

    /**
     * Under load such prompts had their shared parts read again, at a higher price than a refusal.
     */
    @Test
    void promptIsRefusedRatherThanReadAgainElsewhere() {
        Choice home = choose(0);
        mBook.onChosen(home, request(false), 0);
        mBook.onOthersLoad(home.target(), 2, 20_000);

        Choice choice = choose(1);

        assertThat(choice.target()).isEqualTo(home.target());
        assertThat(Admission.admits(request(false), choice.admissionMillis())).isFalse();
    }

    /** What an engine had dropped just before was read again, with a copy of it in the store. */
    @Test
    void storeIsNamedForWhatTheEngineShouldKeep() {
        Choice home = choose(0);
        tellKept(home.target(), home.cacheSalt(), 1, 2);
        assertThat(choose(1).cacheSource()).isEmpty();

        mBook.onServices(List.of(store()));
        tellKept("store:1", home.cacheSalt(), 1, 2);

        assertThat(choose(2).cacheSource()).isEqualTo("store:1");
        assertThat(choose(2).fetchedTokens()).isEqualTo(0);
        assertThat(choose(2).expectedMillis()).isEqualTo(choose(1).expectedMillis());
    }

    /** An engine that has died holds up whoever wants to fetch from it. */
    @Test
    void nothingIsFetchedFromASuspectEngine() {
        Choice home = choose(0);
        tellKept(home.target(), home.cacheSalt(), 1, 2);
        assertThat(choose(1, Set.of(home.target())).cacheSource()).isEqualTo(home.address());

        mBook.onUnreachable(home.target(), 1);

        assertThat(choose(2, Set.of(home.target())).cacheSource()).isEmpty();
    }

    @Test
    void storeThatDoesntAnswerIsNotAsked() {
        mBook.onServices(List.of(store()));
        assertThat(choose(0).cacheTarget()).isEqualTo("store:1");
        tellKept("store:1", choose(0).cacheSalt(), 1, 2);
        assertThat(choose(1).cacheTarget()).isEmpty();
        assertThat(choose(1).cacheSource()).isEqualTo("store:1");

        mBook.onCacheNews(new CacheNews("store:1", false, false, List.of(), List.of()));

        assertThat(choose(2).cacheSource()).isEmpty();
        assertThat(choose(2).cacheTarget()).isEmpty();
    }

    /** Neither weights nor organisations that keep to themselves share what is kept. */
    @Test
    void saltDiffersByWeightsAndByIsolatedOrganisation() {
        String common = choose(0).cacheSalt();
        String isolated =
                mBook.choose(request(true), Set.of(), 0).map(Choice::cacheSalt).orElse("");
        mBook.onReport(report("a", 2));
        String newer = choose(0, Set.of("b", "c")).cacheSalt();

        assertThat(Set.of(common, isolated, newer)).hasSize(3);
    }

    @Test
    void outdatedWeightsAreAvoidedAndThenForbidden() {
        mBook.onReport(report("a", 2));
        mBook.onNamedWeights("m", 2, 1000);

        assertThat(choose(3000).target()).isEqualTo("a");
        assertThat(choose(3000, Set.of("a")).weights()).isEqualTo(1);
        assertThat(mBook.choose(request(false), Set.of("a"), 9000)).isEqualTo(Optional.empty());
    }

    /** A dark engine once got its share until its lease ended, 4.2 s later. */
    @Test
    void engineThatOwesAnswersAndSaysNothingIsAvoided() {
        Choice home = choose(0);
        mBook.onChosen(home, request(false), 0);
        mBook.onPromptRead(home);
        assertThat(choose(500).target()).isEqualTo(home.target());

        assertThat(choose(1500).target()).isNotEqualTo(home.target());

        mBook.onHeard(home.target(), 1600);
        mBook.onFinished(home);
        assertThat(choose(1700).target()).isEqualTo(home.target());
    }

    @Test
    void engineThatDoesntAnswerItsWatcherIsAvoidedUnlessHeardHere() {
        String home = choose(0).target();

        mBook.onCacheNews(new CacheNews(home, false, false, List.of(), List.of()));
        assertThat(choose(1).target()).isNotEqualTo(home);

        mBook.onHeard(home, 2);
        assertThat(choose(3).target()).isEqualTo(home);
    }

    @Test
    void loadingAndLeavingEnginesGetNothing() {
        mBook.onLoading("a", true, 0);
        mBook.onReport(
                new TargetReport("b", "s", "b:1", "z", "v", 64, true, 0, Map.of("m", 1L), 2));

        assertThat(choose(0).target()).isEqualTo("c");

        mBook.onWeightsSeen("a", "m", 2);
        assertThat(choose(0, Set.of("c")).target()).isEqualTo("a");
    }

    /** A leader that dies between its announcement and its order once left the engine unused. */
    /** Fifteen of forty streams were moved, the last of the others ran for five seconds more. */
    @Test
    void onlyTheLastRunsAreMovedFromAnEngineThatIsToLoad() {
        mBook.onOthersLoad("a", 40, 0);
        assertThat(mBook.isHeldUp("a", 1000)).isFalse();

        mBook.onLoading("a", true, 1000);
        assertThat(mBook.isHeldUp("a", 1500)).isFalse();

        mBook.onOthersLoad("a", 8, 0);
        assertThat(mBook.isHeldUp("a", 1500)).isTrue();
        assertThat(mBook.isHeldUp("a", 1100)).isFalse();

        mBook.onOthersLoad("a", 40, 0);
        assertThat(mBook.isHeldUp("a", 3600)).isTrue();

        mBook.onLoading("a", false, 3600);
        assertThat(mBook.isHeldUp("a", 3600)).isFalse();
    }

    @Test
    void announcementOfALoadEndsByItself() {
        mBook.onLoading("a", true, 0);
        mBook.onGone("b");
        mBook.onGone("c");
        assertThat(mBook.choose(request(false), Set.of(), 5000)).isEqualTo(Optional.empty());

        assertThat(choose(6001).target()).isEqualTo("a");
    }

    @Test
    void backlogTurnsRequestsElsewhere() {
        Choice home = choose(0);
        mBook.onOthersLoad(home.target(), 10, 60_000);

        assertThat(choose(1).target()).isNotEqualTo(home.target());
    }

    @Test
    void paceOfATargetIsKnownByItsEvents() {
        assertThat(mBook.paceMillis("a", 0).isPresent()).isFalse();
        seePace("a", 40);

        assertThat(mBook.paceMillis("a", 1000).getAsDouble()).isWithin(0.001).of(40);
        assertThat(mBook.paceMillis("b", 1000).isPresent()).isFalse();
        assertThat(mBook.paceMillis("gone", 1000).isPresent()).isFalse();
    }

    @Test
    void restOfAStreamGoesWhereItEndsFirst() {
        seePace("a", 100);
        seePace("b", 20);
        seePace("c", 40);

        PacedChoice quickest = quickest(100, Set.of()).get();
        assertThat(quickest.choice().target()).isEqualTo("b");
        assertThat(quickest.choice().runnerUp()).isEqualTo("c");
        assertThat(quickest.paceMillis()).isWithin(0.001).of(20);
        assertThat(quickest(100, Set.of("b")).get().choice().target()).isEqualTo("c");
    }

    /** The line of prompts there counts against its pace. */
    @Test
    void fewEventsGoWhereTheirPromptIsReadFirst() {
        seePace("a", 100);
        seePace("b", 20);
        seePace("c", 100);
        mBook.onOthersLoad("b", 2, 40_000);
        mBook.onOthersLoad("c", 2, 80_000);

        assertThat(quickest(5, Set.of()).get().choice().target()).isEqualTo("a");
        assertThat(quickest(100, Set.of()).get().choice().target()).isEqualTo("b");
    }

    /** What was not seen may be slowed by others' prompts: one that was seen is taken first. */
    @Test
    void targetOfUnknownPaceIsTakenBeforeASlowOneAndAfterAQuickOne() {
        mBook.onGone("c");
        seePace("a", 30);
        assertThat(quickest(100, Set.of()).get().choice().target()).isEqualTo("a");

        seePace("a", 60);
        assertThat(quickest(100, Set.of()).get().choice().target()).isEqualTo("b");
    }

    @Test
    void suspectTargetIsNeverTheQuickest() {
        mBook.onGone("c");
        mBook.onFailure("a", 1000);
        assertThat(quickest(100, Set.of()).get().choice().target()).isEqualTo("b");
        assertThat(quickest(100, Set.of("b")).isPresent()).isFalse();
    }

    private void seePace(String id, long millis) {
        for (long at = 0; at <= 1000; at += millis) {
            mBook.onEvent(id, millis, at);
        }
    }

    private Optional<PacedChoice> quickest(int events, Set<String> excluded) {
        return mBook.chooseQuickest(request(false), excluded, events, 1000);
    }

    private void tellKept(String holder, String salt, long... parts) {
        List<Long> keys = new ArrayList<>();
        for (long part : parts) {
            keys.add(CacheKeys.of(salt, part));
        }
        mBook.onCacheNews(new CacheNews(holder, true, false, keys, List.of()));
    }

    private Choice choose(long now) {
        return choose(now, Set.of());
    }

    private Choice choose(long now, Set<String> excluded) {
        return mBook.choose(request(false), excluded, now).get();
    }

    private static Service store() {
        return new Service(
                "k",
                "",
                0,
                Optional.empty(),
                Optional.of(new Service.KvStore("store:1", "z", 1, 1)));
    }

    private static TargetReport report(String id, long weights) {
        return new TargetReport(
                id, "s", id + ":1", "z", "v", 64, false, 0, Map.of("m", weights), weights);
    }

    private static ForwardRequest plain() {
        ForwardRequest prompt = request(false);
        return new ForwardRequest(
                "id",
                prompt.route(),
                "s",
                Optional.empty(),
                "",
                Optional.empty(),
                0,
                0,
                4000,
                new RequestFingerprint(1, 1),
                -1);
    }

    private static ForwardRequest request(boolean isolated) {
        return request(isolated, 0);
    }

    private static ForwardRequest request(boolean isolated, int bodyBytes) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAMING,
                        4000,
                        600,
                        500,
                        1,
                        List.of(new Route.Share("s", 1)),
                        1,
                        false,
                        true,
                        false);
        return new ForwardRequest(
                "id",
                route,
                "s",
                Optional.of(new Organisation("o", Set.of("k"), OptionalInt.empty(), isolated)),
                "",
                Optional.of(PROMPT),
                bodyBytes,
                0,
                4000,
                new RequestFingerprint(1, 1),
                -1);
    }
}
