import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers with small requests on kept channels, and a burst of callers with large bodies. */
final class Bodies {
    private static final int MAX_BODY = 4_194_304;
    private static final int CALLERS = 10;
    private static final int BURST = 16;
    private static final int WRITE_BYTES = 32 << 10;

    /** Each upload takes some 1.6 s: all of them together use a third of a link of 1,000 Mbit/s. */
    private static final int WRITE_PAUSE_MILLIS = 12;

    private static final int TIMEOUT_MILLIS = 1500;
    private static final int BURSTS = 3;

    private final Site mSite;
    /** Requests that lasted longer than the timeout of their route. */
    private final AtomicInteger mLong = new AtomicInteger();

    /** Of these, those without a final answer half a second after it. */
    private final AtomicInteger mUnanswered = new AtomicInteger();

    private final AtomicInteger mClosedAfterRun = new AtomicInteger();
    private final AtomicInteger mClosed = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mLargeServed = new AtomicInteger();
    private final AtomicInteger mLargeRefused = new AtomicInteger();
    private final AtomicInteger mLargeClosed = new AtomicInteger();
    private volatile boolean mEnd;

    private Bodies(Site site) {
        mSite = site;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
            code = new Bodies(site).run(trouble);
        } catch (IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(code);
    }

    private int run(boolean trouble) throws Exception {
        mSite.start(1);
        for (int i = 11; i <= 14; i++) {
            new Engine(mSite, "i-app" + i, "viewer", i, 6, 60);
        }
        String manifest =
                Site.manifest(
                        1,
                        Site.route("tile", "non_idempotent", "viewer", TIMEOUT_MILLIS, 1, "")
                                + ","
                                + Site.route("lookup", "idempotent", "viewer", TIMEOUT_MILLIS, 2, ""),
                        Site.service("viewer"),
                        MAX_BODY);
        if (mSite.call("PUT", "/config", manifest, 20_000) != 200) {
            throw new IllegalStateException("the manifest isn't accepted");
        }
        mSite.awaitReady(1, 20_000);
        Thread.sleep(4000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(new Thread(() -> small(number)));
        }
        callers.forEach(Thread::start);
        Thread.sleep(4000);
        for (int i = 0; i < BURSTS; i++) {
            if (trouble) {
                mSite.record("burst " + i + ": " + BURST + " callers, bodies of " + MAX_BODY);
                burst(i);
            }
            Thread.sleep(5000);
        }
        mEnd = true;
        for (Thread caller : callers) {
            caller.join();
        }
        boolean alive = mSite.mEntries.get(0).isAlive();
        mSite.record(
                "small: served " + mServed + ", refused or failed " + mRefused + ", closed "
                        + mClosed + ", of these run by an engine " + mClosedAfterRun);
        mSite.record(
                "small: longer than their route's timeout " + mLong
                        + ", without a final answer 0.5 s later " + mUnanswered);
        mSite.record(
                "large: served " + mLargeServed + ", refused or failed " + mLargeRefused
                        + ", closed " + mLargeClosed);
        mSite.record("entry alive: " + alive);
        for (String line : mSite.mEntries.get(0).log("Memory")) {
            mSite.record("log " + line.substring(0, Math.min(300, line.length())));
        }
        if (mServed.get() == 0) {
            return 2;
        }
        boolean late = mUnanswered.get() >= 8 && 4 * mUnanswered.get() > mLong.get();
        return late || mClosedAfterRun.get() > 3 || !alive ? 1 : 0;
    }

    /** Sends small requests on one channel, which is opened again if it was closed. */
    private void small(int caller) {
        Socket socket = null;
        Http in = null;
        byte[] body = new byte[600];
        Arrays.fill(body, (byte) 'a');
        for (int i = 0; !mEnd; i++) {
            String id = "s" + caller + "x" + i;
            boolean kept = socket != null;
            long sentAt = System.nanoTime();
            try {
                if (socket == null) {
                    socket = connect();
                    in = new Http(socket.getInputStream());
                }
                Http.write(socket.getOutputStream(), "POST /tile/a HTTP/1.1", head(id, 600), body);
                Http.Message answer = in.readAnswer("POST");
                if (answer.mStatus == 200) {
                    mServed.incrementAndGet();
                } else {
                    mRefused.incrementAndGet();
                    mSite.record("small " + id + " got " + answer.mStatus);
                }
                if (answer.header("connection").equalsIgnoreCase("close")) {
                    socket.close();
                    socket = null;
                }
                judge(id, sentAt);
                Thread.sleep(100);
            } catch (IOException e) {
                judge(id, sentAt);
                boolean run = ran(id);
                mClosed.incrementAndGet();
                if (run && kept) {
                    mClosedAfterRun.incrementAndGet();
                }
                mSite.record("small " + id + " closed without an answer: " + e + ", run: " + run
                        + ", kept channel: " + kept);
                socket = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Counts a request whose answer, or the end of its channel, has just come. */
    private void judge(String id, long sentAt) {
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        if (millis > TIMEOUT_MILLIS) {
            mLong.incrementAndGet();
        }
        if (millis > TIMEOUT_MILLIS + 500) {
            mUnanswered.incrementAndGet();
            mSite.record("small " + id + " had no final answer for " + millis + " ms");
        }
    }

    private boolean ran(String id) {
        return mSite.mEngines.stream().anyMatch(engine -> engine.mRuns.containsKey(id));
    }

    private void burst(int number) throws Exception {
        byte[] body = new byte[MAX_BODY];
        Arrays.fill(body, (byte) 'b');
        CountDownLatch done = new CountDownLatch(BURST);
        for (int i = 0; i < BURST; i++) {
            String id = "b" + number + "x" + i;
            Engine.daemon(
                    () -> {
                        try (Socket socket = connect()) {
                            OutputStream out = socket.getOutputStream();
                            Http.write(
                                    out,
                                    "POST /tile/b HTTP/1.1",
                                    head(id, MAX_BODY),
                                    new byte[0]);
                            for (int at = 0; at < MAX_BODY; at += WRITE_BYTES) {
                                out.write(body, at, WRITE_BYTES);
                                Thread.sleep(WRITE_PAUSE_MILLIS);
                            }
                            int status = new Http(socket.getInputStream()).readAnswer("POST").mStatus;
                            (status == 200 ? mLargeServed : mLargeRefused).incrementAndGet();
                            mSite.record("large " + id + " got " + status);
                        } catch (IOException | InterruptedException e) {
                            mLargeClosed.incrementAndGet();
                            mSite.record("large " + id + " closed: " + e + ", run: " + ran(id));
                        } finally {
                            done.countDown();
                        }
                    });
        }
        done.await();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(mSite.ip(1), mSite.mCallerPort), 1000);
        socket.setSoTimeout(15000);
        return socket;
    }

    private static List<String> head(String id, int length) {
        return List.of(
                "Host: h.example",
                "Attempt-Id: " + id,
                "Deadline-Ms: 3000",
                "Authorization: Token key1",
                "Content-Length: " + length);
    }
}
