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
package org.quilldyke.gateway.control;

import java.util.PriorityQueue;
import java.util.function.LongSupplier;
import org.quilldyke.daemon.control.ControlLoop;

/** A process's control thread in virtual time. */
final class SimulatedControlLoop implements ControlLoop {
    private final PriorityQueue<Task> mTasks = new PriorityQueue<>();
    private final LongSupplier mNow;
    private long mCount;

    SimulatedControlLoop(LongSupplier now) {
        mNow = now;
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public void schedule(long millis, Runnable task) {
        mTasks.add(new Task(mNow.getAsLong() + millis, mCount++, task));
    }

    /** Runs all tasks that are due. */
    void runDue() {
        while (!mTasks.isEmpty() && mTasks.peek().at() <= mNow.getAsLong()) {
            mTasks.remove().task().run();
        }
    }

    private record Task(long at, long order, Runnable task) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
