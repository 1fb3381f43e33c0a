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
package org.quilldyke.tools.command;

import org.quilldyke.ResultCode;

/** The exit codes of the program; documented in docs/RESULT-CODES.md. */
public enum ExitCode {
    /** Done; for a check, everything held. */
    OK(0, "done"),
    /** A check found that a promise was broken. */
    BROKEN(1, "a check found a promise broken"),
    /** The command line is wrong. */
    USAGE(2, "the command line is wrong"),
    /** Shut down, but requests were still open when the drain time was over. */
    NOT_DRAINED(3, "requests were open when the drain time was over"),
    /** The settings were refused. */
    SETTINGS(4, "the settings were refused"),
    /** The instance could not be started, reached, or do what was asked. */
    FAILED(5, "the instance could not do what was asked");

    private static final int SETTINGS_FIRST = 4001;
    private static final int SETTINGS_LAST = 4006;

    private final int mStatus;
    private final String mMeaning;

    ExitCode(int status, String meaning) {
        mStatus = status;
        mMeaning = meaning;
    }

    /** Returns the process's exit status. */
    public int status() {
        return mStatus;
    }

    /** Returns one line for people. */
    public String meaning() {
        return mMeaning;
    }

    /** Returns the exit code for a result code. */
    public static ExitCode of(ResultCode code) {
        if (code == ResultCode.OK) {
            return OK;
        }
        boolean settings = code.number() >= SETTINGS_FIRST && code.number() <= SETTINGS_LAST;
        return settings ? SETTINGS : FAILED;
    }
}
