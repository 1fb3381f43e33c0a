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
package org.quilldyke;

/**
 * The numbered result codes that callers, operators and targets see.
 *
 * <p>The table for users is docs/RESULT-CODES.md; a test checks that both agree. Numbers are never
 * reused for another meaning. 1xxx concern the request, 2xxx the routing and the run, 3xxx
 * operators, 4xxx settings and files, 9xxx faults of the program itself.
 */
public enum ResultCode {
    OK(0, 200, "done"),

    MALFORMED_BODY(1001, 400, "the body is not the JSON that the path expects"),
    MISSING_TOKEN(1002, 401, "no bearer token was given"),
    UNKNOWN_TOKEN(1003, 401, "the bearer token belongs to no organisation"),
    UNKNOWN_MODEL(1004, 404, "no such model"),
    UNKNOWN_SERVICE(1005, 404, "no such service"),
    BODY_TOO_LARGE(1006, 413, "the body is over the limit"),
    BAD_HEADER(1007, 400, "a header has a value outside its range"),
    UNKNOWN_PATH(1008, 404, "no such path"),
    KEY_REUSED(1009, 422, "the idempotency key belongs to a request with another body"),
    CALLER_GONE(1010, 499, "the caller went away"),
    HEADERS_TOO_LARGE(1011, 431, "the request's headers are over the limit"),
    MALFORMED_REQUEST(1012, 400, "the request is not well-formed HTTP"),
    REQUEST_TOO_SLOW(1013, 408, "the request did not arrive in time"),

    NO_TARGET(2001, 503, "no live target serves this"),
    OVERLOADED(2002, 503, "every target is at its limit"),
    ORGANISATION_LIMIT(2003, 429, "the organisation is at its limit"),
    DEADLINE_PASSED(2004, 504, "the deadline has passed or cannot be met"),
    TARGET_REFUSED(2005, 502, "the target refused the request"),
    TARGET_LOST(2006, 502, "the target was lost during the run"),
    STREAM_BROKEN(2007, 502, "the stream could not be continued"),
    RETRIES_EXHAUSTED(2008, 503, "the retry budget is used up"),
    NOT_READY(2009, 503, "this instance is not ready to serve"),
    CLAIM_UNAVAILABLE(2010, 503, "the control group cannot record the claim now"),
    RUN_UNKNOWN(2011, 409, "an earlier run of this key may have run; its answer is not known"),
    RUN_IN_PROGRESS(2012, 409, "an earlier run of this key is in progress"),
    STREAM_GONE(2013, 410, "the stream to resume is no longer held"),
    SHUTTING_DOWN(2014, 503, "this instance is shutting down"),
    CUT_OFF(2015, 503, "this instance is cut off from all others"),
    ANSWER_TOO_LARGE(2016, 502, "the answer is over the limit"),
    NO_CONFIGURATION(2017, 503, "no configuration is confirmed at this instance yet"),
    KEYS_UNCONFIRMED(2018, 503, "this instance cannot confirm keys now"),
    ROUTE_TIMEOUT(2019, 504, "the route's time is over and the request may have run"),
    ANSWER_SPOILED(2020, 502, "the target's answer is not whole or not its own"),
    CUT_BY_SHUTDOWN(2021, 502, "this instance ended before the target's answer did"),
    CRASHES_TARGETS(2022, 503, "targets crashed while they ran this request; it waits"),
    QUOTA_UNAVAILABLE(2023, 503, "the organisation's quota cannot be checked now"),
    STREAM_ORIGIN_UNKNOWN(2024, 503, "the version that began the stream to resume is unknown"),
    REFUSAL_UNCONFIRMED(2025, 502, "the target refused the request, but may have run it"),

    PLAN_CONFLICT(3001, 409, "another intent won this number"),
    PLAN_STALE(3002, 409, "what the plan read has changed"),
    PLAN_UNKNOWN(3003, 404, "no such plan"),
    INTENT_INVALID(3004, 400, "the intent does not fit the configuration"),
    NO_LEADER(3005, 503, "the control group has no leader now"),
    OPERATOR_TOKEN(3006, 401, "the operator token is missing or wrong"),
    MANIFEST_INVALID(3007, 400, "the manifest breaks a rule"),
    READ_UNCONFIRMED(3008, 503, "this instance cannot confirm the newest state now"),
    REPORT_INVALID(3009, 400, "a target's report cannot be read"),
    REPORT_UNREADABLE(3010, 400, "what a target says is no JSON, or more than one document"),
    REPORT_RANGE(3011, 400, "a target's report has a value outside its range"),
    REPORT_ADDRESS(3012, 400, "a target's address is not IP:port"),
    REPORT_STATE(3013, 400, "a target's state is not known"),
    REPORT_SERVICE(3014, 400, "a target's service is in no manifest"),
    REPORT_ID(3015, 400, "a target's id cannot be one"),
    REPORT_EVENT(3016, 400, "an event of a target's cache cannot be read"),
    ROLLOUT_SERVICE(3017, 422, "the service of a rollout is in no manifest"),
    ROLLOUT_CONFLICT(3018, 409, "another rollout of the service is running"),
    ROLLOUT_UNKNOWN(3019, 404, "the service never had a rollout"),

    SETTINGS_UNREADABLE(4001, 400, "the settings file cannot be read"),
    SETTINGS_SYNTAX(4002, 400, "the settings are not valid JSON"),
    SETTINGS_UNKNOWN_KEY(4003, 400, "the settings have a key that is not known"),
    SETTINGS_MISSING_KEY(4004, 400, "the settings lack a key"),
    SETTINGS_TYPE(4005, 400, "a value in the settings has the wrong type"),
    SETTINGS_IMPOSSIBLE(4006, 400, "the settings contradict themselves"),
    LOG_DAMAGED(4007, 500, "the control log is damaged"),
    DISK_FAILED(4008, 500, "the data folder cannot be written"),
    ADDRESS_IN_USE(4009, 500, "an address of the settings cannot be bound"),

    INVARIANT_BROKEN(9001, 500, "an invariant does not hold"),
    INTERNAL(9002, 500, "an unexpected fault");

    private final int mNumber;
    private final int mHttpStatus;
    private final String mMeaning;
    private final String mLabel;

    ResultCode(int number, int httpStatus, String meaning) {
        mNumber = number;
        mHttpStatus = httpStatus;
        mMeaning = meaning;
        // String.format took 7 of 40 profile samples of the main thread's start when used here.
        mLabel = "QR" + "0".repeat(4 - String.valueOf(number).length()) + number;
    }

    /** Returns the number, printed as {@code QR} and four digits. */
    public int number() {
        return mNumber;
    }

    /** Returns the HTTP status that carries this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns a one-line description. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns the printed form, such as {@code QR2001}. */
    public String label() {
        return mLabel;
    }
}
