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

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;

/**
 * Validation of target reports. Any sender may submit one, so it is accepted only if its address is
 * well-formed and none of its values can distort routing decisions.
 */
public final class ReportRules {
    /** Far above any real concurrency; a higher value would attract all requests. */
    static final int MAX_SLOTS = 100_000;

    static final int MAX_TEXT_LENGTH = 256;
    static final int MAX_MODELS = 256;

    /**
     * All JSON readers represent integers up to this one exactly. A sequence or version close to
     * {@link Long#MAX_VALUE} would leave no higher values for later reports.
     */
    static final long MAX_SAFE_INTEGER = 1L << 53;

    /**
     * Characters that need no escaping in a path or a header. The longest ids in use have about 40
     * characters.
     */
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9._~:@!$&'()*+,;=-]{1,128}");

    private ReportRules() {}

    /**
     * Returns the report if it is valid.
     *
     * @throws QuilldykeException with the code of the first rule that it violates
     */
    public static TargetReport validated(TargetReport report) throws QuilldykeException {
        Optional<ResultCode> violation = findViolation(report);
        if (violation.isPresent()) {
            throw QuilldykeException.notRun(violation.get(), "");
        }
        return report;
    }

    /** Returns the code of the first rule that a report violates. */
    public static Optional<ResultCode> findViolation(TargetReport report) {
        if (!isId(Incarnation.ofKey(report.key()).id())) {
            return Optional.of(ResultCode.REPORT_ID);
        }
        if (!SocketAddresses.isIpAndPort(report.address())) {
            return Optional.of(ResultCode.REPORT_ADDRESS);
        }
        boolean textsAreValid =
                isName(report.service())
                        && isText(report.failureDomain())
                        && isText(report.softwareVersion());
        if (!textsAreValid) {
            return Optional.of(ResultCode.REPORT_INVALID);
        }
        boolean numbersAreInRange =
                report.slots() >= 1
                        && report.slots() <= MAX_SLOTS
                        && isInRange(report.coldRemainingMillis())
                        && (report.isRestored() || isInRange(report.sequence()));
        return numbersAreInRange
                ? findViolation(report.weights())
                : Optional.of(ResultCode.REPORT_RANGE);
    }

    /** Returns the code of the first rule that the weights of a report violate. */
    public static Optional<ResultCode> findViolation(Map<String, Long> weights) {
        if (weights.size() > MAX_MODELS
                || !weights.values().stream().allMatch(ReportRules::isInRange)) {
            return Optional.of(ResultCode.REPORT_RANGE);
        }
        return weights.keySet().stream().allMatch(ReportRules::isName)
                ? Optional.empty()
                : Optional.of(ResultCode.REPORT_INVALID);
    }

    /** Returns whether {@code id} is a valid target id. */
    public static boolean isId(String id) {
        return ID.matcher(id).matches();
    }

    /** Returns whether a counter or a duration in milliseconds is in the accepted range. */
    public static boolean isInRange(long number) {
        return number >= 0 && number <= MAX_SAFE_INTEGER;
    }

    private static boolean isName(String text) {
        return !text.isEmpty() && isText(text);
    }

    /**
     * Returns whether a text is short enough and has no control characters, nor unpaired
     * surrogates, which are lost in UTF-8.
     */
    private static boolean isText(String text) {
        if (text.length() > MAX_TEXT_LENGTH) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean beginsPair =
                    Character.isHighSurrogate(c)
                            && i + 1 < text.length()
                            && Character.isLowSurrogate(text.charAt(i + 1));
            if (beginsPair) {
                i++;
            } else if (Character.isISOControl(c) || Character.isSurrogate(c)) {
                return false;
            }
        }
        return true;
    }
}
