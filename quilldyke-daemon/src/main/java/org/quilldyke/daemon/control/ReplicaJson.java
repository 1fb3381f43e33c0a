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
package org.quilldyke.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.quilldyke.QuilldykeException;
import org.quilldyke.ResultCode;
import org.quilldyke.control.Ballot;
import org.quilldyke.control.Membership;
import org.quilldyke.daemon.json.JsonTree;

/** What a replica stores and sends besides its log, as JSON. */
public final class ReplicaJson {
    private ReplicaJson() {}

    /** Returns the bytes of a ballot. */
    public static byte[] encode(Ballot ballot) {
        return JsonTree.write(
                JsonTree.object()
                        .put("term", ballot.term())
                        .put("votedFor", ballot.votedFor())
                        .put("trusted", ballot.trusted()));
    }

    /**
     * Returns the ballot that {@code bytes} hold.
     *
     * @throws QuilldykeException {@link ResultCode#MALFORMED_BODY} if they hold none
     */
    public static Ballot ballot(byte[] bytes) throws QuilldykeException {
        JsonNode tree = JsonTree.read(bytes);
        require(tree.path("term").isIntegralNumber(), "term");
        require(tree.path("trusted").isBoolean(), "trusted");
        return new Ballot(
                tree.path("term").asLong(),
                text(tree, "votedFor"),
                tree.path("trusted").asBoolean());
    }

    /** Returns the bytes of a membership. */
    public static byte[] encode(Membership membership) {
        return JsonTree.write(tree(membership));
    }

    /** Returns the tree of a membership. */
    public static ObjectNode tree(Membership membership) {
        ObjectNode tree = JsonTree.object();
        putMembers(tree.putArray("voters"), membership.voters());
        putMembers(tree.putArray("standbys"), membership.standbys());
        return tree;
    }

    /**
     * Returns the membership that {@code bytes} hold.
     *
     * @throws QuilldykeException {@link ResultCode#MALFORMED_BODY} if they hold none
     */
    public static Membership membership(byte[] bytes) throws QuilldykeException {
        return membership(JsonTree.read(bytes));
    }

    /** Returns the membership that a tree holds; fails as {@link #membership(byte[])}. */
    public static Membership membership(JsonNode tree) throws QuilldykeException {
        return new Membership(members(tree, "voters"), members(tree, "standbys"));
    }

    /** Returns a text of an object; fails if it has none. */
    public static String text(JsonNode tree, String key) throws QuilldykeException {
        require(tree.path(key).isTextual(), key);
        return tree.path(key).asText();
    }

    private static void putMembers(ArrayNode out, List<Membership.Member> members) {
        for (Membership.Member member : members) {
            out.addObject().put("id", member.id()).put("address", member.address());
        }
    }

    private static List<Membership.Member> members(JsonNode tree, String key)
            throws QuilldykeException {
        require(tree.path(key).isArray(), key);
        List<Membership.Member> members = new ArrayList<>();
        for (JsonNode member : tree.path(key)) {
            members.add(new Membership.Member(text(member, "id"), text(member, "address")));
        }
        return members;
    }

    private static void require(boolean holds, String key) throws QuilldykeException {
        if (!holds) {
            throw QuilldykeException.notRun(ResultCode.MALFORMED_BODY, key);
        }
    }
}
