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

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The steps that carry out an intent, and their progress.
 *
 * @param number the operator's number for the plan; only the first intent under a number is
 *     accepted
 * @param intentId distinguishes a resend of the same intent from another intent under the same
 *     number
 * @param operator the operator who submitted the intent
 * @param intent the requested change
 * @param steps the steps, for people
 * @param capacityNote the effect on capacity, for people
 * @param reads the version of each object that the plan was made from, by {@code KIND/name}
 * @param state the plan's progress
 * @param orders the orders to targets, by target id; empty for plans without any
 * @param note why the plan failed, or empty
 */
public record Plan(
        String number,
        String intentId,
        String operator,
        Intent intent,
        List<String> steps,
        String capacityNote,
        SortedMap<String, Long> reads,
        State state,
        SortedMap<String, Order> orders,
        String note) {

    /** The progress of a plan. */
    public enum State {
        /** Waits for a confirmation. */
        PROPOSED,
        /** Confirmed; orders to targets are in progress. */
        RUNNING,
        /** Completed; the change is in force. */
        DONE,
        /** Failed; the note gives the reason. */
        FAILED
    }

    /**
     * An order to a target.
     *
     * @param target the target
     * @param fencing the log index at which the order was recorded; larger than that of any earlier
     *     order
     * @param weights the weight version to load
     * @param recordedAt when it was recorded, in milliseconds since the epoch
     * @param done whether the target has reported the weights as loaded
     */
    public record Order(
            String target, long fencing, String weights, long recordedAt, boolean done) {
        /** Returns this order as reported done. */
        public Order closed() {
            return new Order(target, fencing, weights, recordedAt, true);
        }
    }

    /** Returns this plan in another state. */
    public Plan with(State value, String why) {
        return new Plan(
                number, intentId, operator, intent, steps, capacityNote, reads, value, orders, why);
    }

    /** Returns this plan with an order added or replaced. */
    public Plan with(Order order) {
        SortedMap<String, Order> copy = new TreeMap<>(orders);
        copy.put(order.target(), order);
        return new Plan(
                number, intentId, operator, intent, steps, capacityNote, reads, state, copy, note);
    }

    /** Returns the number of orders whose target hasn't reported the weights as loaded. */
    public int openOrders() {
        int open = 0;
        for (Order order : orders.values()) {
            if (!order.done()) {
                open++;
            }
        }
        return open;
    }
}
