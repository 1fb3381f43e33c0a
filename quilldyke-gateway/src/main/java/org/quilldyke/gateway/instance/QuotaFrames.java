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
package org.quilldyke.gateway.instance;

import org.quilldyke.gateway.instance.proto.QuotaGrantItem;
import org.quilldyke.gateway.instance.proto.QuotaPullItem;
import org.quilldyke.gateway.instance.proto.QuotaVerdict.Kind;
import org.quilldyke.quota.QuotaGrant;
import org.quilldyke.quota.QuotaPull;
import org.quilldyke.quota.QuotaVerdict;

/** Converts the messages on quotas to and from their frames. */
public final class QuotaFrames {
    private QuotaFrames() {}

    /** Encodes a request to the leader. */
    public static org.quilldyke.gateway.instance.proto.QuotaPull encode(QuotaPull pull) {
        var out = org.quilldyke.gateway.instance.proto.QuotaPull.newBuilder();
        out.setNumber(pull.number()).setAccount(pull.account());
        for (QuotaPull.Item item : pull.items()) {
            out.addItems(
                    QuotaPullItem.newBuilder()
                            .setOrganisation(item.organisation())
                            .setSpent(item.spent())
                            .setReturned(item.returned())
                            .setNeeded(item.needed())
                            .setMinNeeded(item.minNeeded())
                            .setWanted(item.wanted()));
        }
        return out.build();
    }

    /** Decodes a request to the leader. */
    public static QuotaPull decode(org.quilldyke.gateway.instance.proto.QuotaPull pull) {
        return new QuotaPull(
                pull.getNumber(),
                pull.getAccount(),
                pull.getItemsList().stream()
                        .map(
                                item ->
                                        new QuotaPull.Item(
                                                item.getOrganisation(),
                                                item.getSpent(),
                                                item.getReturned(),
                                                item.getNeeded(),
                                                item.getMinNeeded(),
                                                item.getWanted()))
                        .toList());
    }

    /** Encodes the leader's response. */
    public static org.quilldyke.gateway.instance.proto.QuotaGrant encode(QuotaGrant grant) {
        var out = org.quilldyke.gateway.instance.proto.QuotaGrant.newBuilder();
        out.setNumber(grant.number()).setAccount(grant.account());
        for (QuotaGrant.Item item : grant.items()) {
            out.addItems(
                    QuotaGrantItem.newBuilder()
                            .setOrganisation(item.organisation())
                            .setGranted(item.granted())
                            .setScarce(item.scarce())
                            .setRetryAfterMs(item.retryAfterMillis()));
        }
        return out.build();
    }

    /** Decodes the leader's response. */
    public static QuotaGrant decode(org.quilldyke.gateway.instance.proto.QuotaGrant grant) {
        return new QuotaGrant(
                grant.getNumber(),
                grant.getAccount(),
                grant.getItemsList().stream()
                        .map(
                                item ->
                                        new QuotaGrant.Item(
                                                item.getOrganisation(),
                                                item.getGranted(),
                                                item.getScarce(),
                                                item.getRetryAfterMs()))
                        .toList());
    }

    /** Encodes the decision on an inquiry. */
    public static org.quilldyke.gateway.instance.proto.QuotaVerdict encode(
            long number, QuotaVerdict verdict) {
        return org.quilldyke.gateway.instance.proto.QuotaVerdict.newBuilder()
                .setNumber(number)
                .setKind(
                        switch (verdict.kind()) {
                            case ADMITTED -> Kind.ADMITTED;
                            case OVER_LIMIT -> Kind.OVER_LIMIT;
                            case UNAVAILABLE -> Kind.UNAVAILABLE;
                        })
                .setRetryAfterMs(verdict.retryAfterMillis())
                .build();
    }

    /** Decodes a decision; one of an unknown kind, of a newer version, counts as none. */
    public static QuotaVerdict decode(org.quilldyke.gateway.instance.proto.QuotaVerdict verdict) {
        return switch (verdict.getKind()) {
            case ADMITTED -> QuotaVerdict.admitted();
            case OVER_LIMIT -> QuotaVerdict.overLimit(verdict.getRetryAfterMs());
            default -> QuotaVerdict.unavailable();
        };
    }
}
