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
package org.quilldyke.testkit.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpClient;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** One stand-in's thread: an event loop with an HTTP server and client on it. */
public final class StandInHost {
    private final Eventloop mReactor;
    private final Thread mThread;
    private final InetSocketAddress mAddress;
    private HttpServer mServer;
    private HttpClient mClient;

    private StandInHost(String name, InetSocketAddress address) {
        mAddress = address;
        mReactor = Eventloop.builder().withThreadName(name).build();
        mReactor.keepAlive(true);
        mThread = new Thread(mReactor, name);
        mThread.setDaemon(true);
    }

    /** Returns a host that will listen at {@code address}, {@code IP:port}; it isn't started. */
    public static StandInHost at(String name, String address) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new StandInHost(name, new InetSocketAddress(address.substring(0, colon), port));
    }

    /**
     * Starts the thread and the server.
     *
     * @throws IOException if the address can't be bound
     */
    public void start(AsyncServlet servlet) throws IOException {
        mThread.start();
        call(
                () -> {
                    mServer =
                            HttpServer.builder(mReactor, servlet)
                                    .withListenAddress(mAddress)
                                    .withMaxBodySize(64 << 20)
                                    .build();
                    mServer.listen();
                    mClient =
                            HttpClient.builder(mReactor, numbersOnly())
                                    .withConnectTimeout(Duration.ofSeconds(1))
                                    .withReadWriteTimeout(Duration.ofSeconds(5))
                                    .build();
                });
    }

    /** Returns the event loop. */
    public Eventloop reactor() {
        return mReactor;
    }

    /** Returns the client, for use on the event loop. */
    public HttpClient client() {
        return mClient;
    }

    /** Returns the server's address as {@code IP:port}. */
    public String address() {
        return mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    /** Stops at once, as a killed process does: open connections break. */
    public void kill() {
        mReactor.submit(
                () -> {
                    mServer.close();
                    mReactor.keepAlive(false);
                    mReactor.breakEventloop();
                    closeChannels();
                });
        try {
            mThread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs {@code action} on the event loop and waits for it. */
    public void call(IoAction action) throws IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mReactor.execute(
                () -> {
                    try {
                        action.run();
                        done.complete(null);
                    } catch (IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }

    /** Returns a resolver that knows IP numbers only, since no names are used. */
    static IDnsClient numbersOnly() {
        return new IDnsClient() {
            @Override
            public Promise<DnsResponse> resolve(DnsQuery query) {
                DnsResponse known = IDnsClient.resolveFromQuery(query);
                return known != null
                        ? Promise.of(known)
                        : Promise.ofException(new IOException("not an IP number"));
            }

            @Override
            public void close() {
                // Holds nothing.
            }
        };
    }

    private void closeChannels() {
        mReactor.getSelector()
                .keys()
                .forEach(
                        key -> {
                            try {
                                key.channel().close();
                            } catch (IOException e) {
                                // The process is taken for dead; a channel that won't close is no
                                // matter.
                                key.cancel();
                            }
                        });
    }

    /** An action that may fail with an {@link IOException}. */
    public interface IoAction {
        /** Does it. */
        void run() throws IOException;
    }
}
