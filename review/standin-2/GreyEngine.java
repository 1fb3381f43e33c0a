import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One of eight engines fails a part of its requests after their work, with 503. */
final class GreyEngine {
    private static final int CALLERS = 10;
    private static final double SHARE = 0.4;
    private static final int FAILING_MILLIS = 6500;

    private final Site mSite;
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private final AtomicInteger mBroken = new AtomicInteger();
    private final AtomicInteger mTwice = new AtomicInteger();
    private volatile boolean mEnd;

    private GreyEngine(Site site) {
        mSite = site;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
            code = new GreyEngine(site).run(trouble);
        } catch (IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(code);
    }

    private int run(boolean trouble) throws Exception {
        mSite.start(1);
        for (int i = 11; i <= 18; i++) {
            new Engine(mSite, "i-app" + i, "viewer", i, 6, 60);
        }
        String manifest =
                Site.manifest(
                        1,
                        Site.route("tile", "non_idempotent", "viewer", 1500, 1, ""),
                        Site.service("viewer"),
                        4_194_304);
        if (mSite.call("PUT", "/config", manifest, 20_000) != 200) {
            throw new IllegalStateException("the manifest isn't accepted");
        }
        mSite.awaitReady(1, 20_000);
        Thread.sleep(4000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(new Thread(() -> call(number)));
        }
        callers.forEach(Thread::start);
        Thread.sleep(4000);
        if (trouble) {
            mSite.record("engine i-app11 fails " + SHARE + " of its requests");
            mSite.mEngines.get(0).mFailing = SHARE;
        }
        Thread.sleep(FAILING_MILLIS);
        mSite.mEngines.get(0).mFailing = 0;
        mSite.record("engine i-app11 is sound");
        Thread.sleep(4000);
        mEnd = true;
        for (Thread caller : callers) {
            caller.join();
        }
        mSite.record(
                "served " + mServed + ", answered 408, 421, 429 or 503 though run " + mBroken
                        + " (of these sent again as told and run again: " + mTwice + "), others "
                        + mOther);
        if (mServed.get() == 0) {
            return 2;
        }
        return mBroken.get() > 0 ? 1 : 0;
    }

    private void call(int caller) {
        for (int i = 0; !mEnd; i++) {
            String id = "c" + caller + "x" + i;
            try {
                int status = send(id);
                boolean promised = List.of(408, 421, 429, 503).contains(status);
                if (status == 200) {
                    mServed.incrementAndGet();
                } else if (!promised || !ran(id)) {
                    mOther.incrementAndGet();
                } else {
                    mBroken.incrementAndGet();
                    mSite.record(id + " got " + status + " and was run; it is sent again");
                    int second = send(id + "-again");
                    if (second == 200 && ran(id + "-again")) {
                        mTwice.incrementAndGet();
                        mSite.record(id + " was sent again, run again and got " + second);
                    }
                }
                Thread.sleep(100);
            } catch (IOException e) {
                mOther.incrementAndGet();
                mSite.record(id + ": " + e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean ran(String id) {
        return mSite.mEngines.stream().anyMatch(engine -> engine.mRuns.containsKey(id));
    }

    /** Sends a request on a new channel and returns the status of its answer. */
    private int send(String id) throws IOException {
        byte[] body = "hold 40 for order 7".getBytes(StandardCharsets.UTF_8);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mSite.ip(1), mSite.mCallerPort), 1000);
            socket.setSoTimeout(4000);
            Http.write(
                    socket.getOutputStream(),
                    "POST /tile/a HTTP/1.1",
                    List.of(
                            "Host: h.example",
                            "Attempt-Id: " + id,
                            "Deadline-Ms: 3000",
                            "Authorization: Token key1",
                            "Content-Length: " + body.length),
                    body);
            return new Http(socket.getInputStream()).readAnswer("POST").mStatus;
        }
    }
}
