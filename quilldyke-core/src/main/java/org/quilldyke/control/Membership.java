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

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The replicas of the log: voters, whose majority elects and commits, and standbys, which only
 * follow.
 *
 * <p>A membership is an entry of the log and is in force at each replica as soon as the entry is
 * appended there. Consecutive memberships differ by at most one voter, so that any majority of the
 * one overlaps any majority of the other.
 *
 * @param voters the replicas whose majority elects and commits
 * @param standbys the replicas that store the log but don't vote
 */
public record Membership(List<Member> voters, List<Member> standbys) {
    /** Copies the lists. */
    public Membership {
        voters = List.copyOf(voters);
        standbys = List.copyOf(standbys);
    }

    /** Returns the membership of a replica that knows no members yet. */
    public static Membership empty() {
        return new Membership(List.of(), List.of());
    }

    /** Returns a membership of voters only. */
    public static Membership ofVoters(List<Member> voters) {
        return new Membership(voters, List.of());
    }

    /** Returns a membership of voters whose addresses are their ids. */
    public static Membership ofIds(List<String> ids) {
        return ofVoters(ids.stream().map(id -> new Member(id, id)).toList());
    }

    /** Returns the number of voters that make a majority. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns whether the replica is a voter. */
    public boolean isVoter(String id) {
        return voters.stream().anyMatch(m -> m.id().equals(id));
    }

    /** Returns the member with the given id. */
    public Optional<Member> member(String id) {
        return all().stream().filter(m -> m.id().equals(id)).findFirst();
    }

    /** Returns voters and standbys. */
    public List<Member> all() {
        List<Member> all = new ArrayList<>(voters);
        all.addAll(standbys);
        return all;
    }

    /** Returns the ids of all members except {@code self}. */
    public List<String> others(String self) {
        return all().stream().map(Member::id).filter(id -> !id.equals(self)).toList();
    }

    /** Returns the ids of all voters except {@code self}. */
    public List<String> otherVoters(String self) {
        return voters.stream().map(Member::id).filter(id -> !id.equals(self)).toList();
    }

    /** Returns the membership with a standby added. */
    public Membership withStandby(Member member) {
        List<Member> newStandbys = new ArrayList<>(standbys);
        newStandbys.add(member);
        return new Membership(voters, newStandbys);
    }

    /** Returns the membership with a standby made a voter. */
    public Membership withPromoted(Member member) {
        List<Member> newVoters = new ArrayList<>(voters);
        newVoters.add(member);
        return new Membership(newVoters, remove(standbys, member.id()));
    }

    /** Returns the membership with a voter made a standby. */
    public Membership withDemoted(Member member) {
        List<Member> newStandbys = new ArrayList<>(standbys);
        newStandbys.add(member);
        return new Membership(remove(voters, member.id()), newStandbys);
    }

    /** Returns the membership without a member. */
    public Membership without(String id) {
        return new Membership(remove(voters, id), remove(standbys, id));
    }

    /** Returns the number of voters that are in only one of the two memberships. */
    public int voterDifference(Membership other) {
        long added = voters.stream().filter(m -> !other.isVoter(m.id())).count();
        long removed = other.voters.stream().filter(m -> !isVoter(m.id())).count();
        return (int) (added + removed);
    }

    private static List<Member> remove(List<Member> members, String id) {
        return members.stream().filter(m -> !m.id().equals(id)).toList();
    }

    /**
     * A replica of the log.
     *
     * @param id identifies the replica and its disk; a replica that lost its disk gets a new id
     * @param address the address at which other replicas reach it
     */
    public record Member(String id, String address) {}
}
