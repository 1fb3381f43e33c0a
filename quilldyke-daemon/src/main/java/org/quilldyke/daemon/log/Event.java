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
package org.quilldyke.daemon.log;

/**
 * The numbered events of the log. 1xxx callers, 2xxx routing, 3xxx targets, 4xxx control, 5xxx the
 * instance itself. A test keeps docs/EVENTS.md equal to this list.
 */
public enum Event {
    REFUSED(1001, Level.INFO, "refuse", "a request was refused or failed"),
    ANSWERED(1002, Level.INFO, "answer", "a request was answered whole"),
    CALLER_GONE(1003, Level.INFO, "gone", "a caller went away before the end of its answer"),
    STREAM_RESUMED(1004, Level.INFO, "resume", "a caller resumed a stream at this instance"),
    STORED_ANSWER(1005, Level.INFO, "stored", "a repeat got the stored answer"),
    ANSWER_CUT(1006, Level.WARN, "cut", "an answer was cut in its middle, and why"),

    ROUTED(2001, Level.INFO, "route", "a target was chosen, and why"),
    ATTEMPT_FAILED(2002, Level.WARN, "attempt", "an attempt failed"),
    STREAM_CONTINUED(2003, Level.INFO, "continue", "a broken stream goes on"),
    CHUNK_DROPPED(2004, Level.WARN, "drop", "a late or crossed chunk was dropped"),
    REQUEST_SUSPECTED(2005, Level.WARN, "suspect", "a request may crash targets; what follows"),
    NO_TARGET(2006, Level.WARN, "no-target", "no target could be used; how many are alive"),
    RETRY_SHARE(
            2007, Level.INFO, "retry-share", "among how many instances the retries are divided"),
    ANSWER_SKIPPED(2008, Level.WARN, "skip", "an answer to another request was skipped"),

    TARGET_JOINED(3001, Level.INFO, "target-joined", "a target announced itself"),
    TARGET_RESTARTED(3002, Level.INFO, "target-restarted", "a target has a new incarnation"),
    TARGET_CHANGED(3003, Level.INFO, "target-changed", "a target says something new of itself"),
    TARGET_LAPSED(3004, Level.WARN, "target-lapsed", "a target's lease ended without renewal"),
    INDEX_RESYNCED(3005, Level.INFO, "resync", "a target's cached blocks were read anew"),
    WATCH_FAILED(3006, Level.DEBUG, "watch", "an engine's events or load could not be read"),
    WATCH_LOST(3007, Level.WARN, "watch-lost", "a holder of cached prompts does not answer"),
    NEWS_REFUSED(3008, Level.WARN, "news-refused", "what a target says cannot be taken"),
    TARGET_LEAVES(3009, Level.INFO, "target-leaves", "a target leaves, and what was made of it"),
    TARGET_CRASHED(3010, Level.WARN, "target-crashed", "a target ended amid runs"),
    TARGET_LIMITED(3011, Level.INFO, "target-limit", "a target limits what it takes, or no more"),
    PATH_LOST(3012, Level.WARN, "path-lost", "a target is out of reach from this instance"),
    PATH_RESTORED(3013, Level.INFO, "path-restored", "a target is within reach again"),
    TARGET_RESTS(3014, Level.INFO, "target-rests", "a target wants no requests of this instance"),
    TARGET_LEAVING(3015, Level.INFO, "target-leaving", "a target's answer says that it leaves"),
    TARGET_BRITTLE(3016, Level.INFO, "target-brittle", "targets fail if they refuse too many"),
    CANARIES_PAUSED(
            3017,
            Level.WARN,
            "canaries-paused",
            "this instance sends no canary requests for a while"),

    LEADER_WON(4001, Level.INFO, "leader-won", "this replica leads"),
    LEADER_LOST(4002, Level.INFO, "leader-lost", "this replica leads no longer"),
    CONFIGURATION(4003, Level.INFO, "configuration", "a configuration is in force here"),
    PLAN_CHANGED(4004, Level.INFO, "plan", "a plan has a new state"),
    ORDER_SENT(4005, Level.INFO, "order", "an order was sent to a target"),
    ORDER_FAILED(4006, Level.WARN, "order-failed", "an order was refused or got no answer"),
    LOG_CUT(4007, Level.WARN, "log-cut", "an entry that was not written whole was cut off"),
    SNAPSHOT_SAVED(4008, Level.INFO, "snapshot", "the control state was saved and the log cut"),
    DISK_FAILED(4009, Level.ERROR, "disk", "the data folder failed; the write is tried again"),
    LOG_REPAIRED(4010, Level.WARN, "repair", "a replica whose disk was lost is trusted again"),
    DISK_RECOVERED(4011, Level.INFO, "disk-recovered", "the data folder can be written again"),
    MEMBERSHIP(4012, Level.INFO, "membership", "other replicas hold the log from now on"),
    MANIFEST_ACCEPTED(4013, Level.INFO, "manifest", "a manifest is committed"),
    MANIFEST_REFUSED(4014, Level.WARN, "manifest-refused", "a manifest breaks a rule"),
    WEIGHTS_NAMED(4015, Level.INFO, "weights-named", "a version of a model's weights is wanted"),
    WEIGHTS_LOADED(4016, Level.INFO, "weights-loaded", "an engine holds new weights"),
    IDENTITY(4017, Level.INFO, "identity", "the replica takes part under this name"),
    ORDER_RIGHT(4018, Level.INFO, "order-right", "this replica may order engines now"),
    CALL_REFUSED(4019, Level.WARN, "call-refused", "a call of an operator or a target failed"),
    DISK_CLEARED(4020, Level.ERROR, "disk-cleared", "a damaged data folder was emptied"),
    QUOTA_REFUSED(4021, Level.INFO, "quota-refused", "a request is over a quota, or unchecked"),
    ROLLOUT_ORDERED(4022, Level.INFO, "rollout", "a rollout was ordered"),
    ROLLOUT_PHASE(4023, Level.INFO, "rollout-phase", "a rollout has a new phase, and why"),
    ROLLOUT_EVIDENCE(
            4024, Level.INFO, "rollout-evidence", "what entries have observed of a rollout"),
    VERSION_RECORDED(
            4025, Level.INFO, "version", "a software version of a service has a new standing"),

    STARTED(5001, Level.INFO, "start", "the instance serves"),
    SHUTTING_DOWN(5002, Level.INFO, "drain", "the instance takes only what ends before it has to"),
    STOPPED(5003, Level.INFO, "stop", "the instance has stopped"),
    STANDING(5004, Level.WARN, "standing", "the instance's standing in the cell has changed"),
    INSTANCE_HEARD(5005, Level.INFO, "instance", "another instance was heard for the first time"),
    INVARIANT(5006, Level.ERROR, "invariant", "an invariant does not hold"),
    FAULT(5007, Level.ERROR, "fault", "an unexpected fault"),
    PEER_GAINED(5008, Level.INFO, "peer", "another control process is in reach"),
    PEER_LOST(5009, Level.WARN, "peer-lost", "another control process is out of reach"),
    CONTROL_GAINED(5010, Level.INFO, "control", "a control process is in reach"),
    CONTROL_LOST(5011, Level.WARN, "control-lost", "a control process is out of reach"),
    CONFIRMED(5012, Level.INFO, "confirmed", "the configuration here is known to be the newest"),
    UNCONFIRMED(5013, Level.WARN, "unconfirmed", "keys cannot be confirmed here any more"),
    RELOADED(5014, Level.INFO, "reload", "the settings were read again"),
    SUBSCRIBER_GAINED(5015, Level.INFO, "subscriber", "an entry process listens here"),
    SUBSCRIBER_LOST(5016, Level.INFO, "subscriber-lost", "an entry process listens no longer"),
    NO_CLASS_ARCHIVE(5017, Level.WARN, "no-archive", "classes come from the jars, a slow start"),
    LOOP_STUCK(5018, Level.ERROR, "loop-stuck", "a thread did not stop in time; addresses stay"),
    CONTROL_TRIED(5019, Level.INFO, "control-tried", "a stream to a control process is opened"),
    CONTROL_LEFT(5020, Level.INFO, "control-left", "a control process is given up for another"),
    NO_DISK(5021, Level.INFO, "no-disk", "without a disk, callers are sent on to others");

    private final int mNumber;
    private final Level mLevel;
    private final String mVerb;
    private final String mMeaning;
    private final String mLabel;

    Event(int number, Level level, String verb, String meaning) {
        mNumber = number;
        mLevel = level;
        mVerb = verb;
        mMeaning = meaning;
        mLabel = "QD" + number;
    }

    /** Returns the number, printed as {@code QD} and four digits. */
    public int number() {
        return mNumber;
    }

    /** Returns the printed form, such as {@code QD2001}. */
    public String label() {
        return mLabel;
    }

    /** Returns the short word after the number. */
    public String verb() {
        return mVerb;
    }

    /** Returns one line for people. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns how loud it is. */
    public Level level() {
        return mLevel;
    }

    /** How loud an event is. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }
}
