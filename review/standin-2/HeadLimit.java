import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A manifest raises max_header_bytes while callers keep their channels open. */
final class HeadLimit {
    private static final int ENTRIES = 2;
    private static final int CALLERS = 20;
    private static final int BEFORE = 16_384;
    private static final int AFTER = 65_536;

    /** Bytes of the long heads: over the first limit, a third of the second. */
    private static final int LONG_HEAD = 22_000;

    private final Site mSite;
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mDenied = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();
    private volatile boolean mLong;
    private volatile boolean mEnd;

    private HeadLimit(Site site) {
        mSite = site;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
            code = new HeadLimit(site).run(trouble);
        } catch (IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(code);
    }

    private static String manifest(long version, int maxHeaderBytes) {
        return Site.manifest(
                        version,
                        Site.route("lookup", "idempotent", "viewer", 1500, 2, ""),
                        Site.service("viewer"),
                        4_194_304)
                .replace("\"max_header_bytes\":16384", "\"max_header_bytes\":" + maxHeaderBytes);
    }

    private int run(boolean trouble) throws Exception {
        mSite.start(ENTRIES);
        for (int i = 11; i <= 14; i++) {
            new Engine(mSite, "i-app" + i, "viewer", i, 6, 20);
        }
        publish(1, trouble ? BEFORE : AFTER);
        for (int i = 1; i <= ENTRIES; i++) {
            mSite.awaitReady(i, 20_000);
        }
        Thread.sleep(4000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS * ENTRIES; i++) {
            int number = i;
            callers.add(new Thread(() -> call(number)));
        }
        callers.forEach(Thread::start);
        Thread.sleep(5000);
        if (trouble) {
            publish(2, AFTER);
        }
        // Over config_apply_ms and contact_ms: version 2 is in force everywhere.
        Thread.sleep(5000);
        mSite.record("from now on heads have " + LONG_HEAD + " bytes");
        mLong = true;
        Thread.sleep(8000);
        mEnd = true;
        for (Thread caller : callers) {
            caller.join();
        }
        double bound = 5 + mRequests.get() / 500.0;
        mSite.record(
                "requests " + mRequests + ", served " + mServed + ", ended with a 4xx " + mDenied
                        + " (bound " + bound + "), others " + mOther);
        if (mServed.get() == 0) {
            return 2;
        }
        return mDenied.get() > bound ? 1 : 0;
    }

    private void publish(long version, int maxHeaderBytes) throws Exception {
        int status = mSite.call("PUT", "/config", manifest(version, maxHeaderBytes), 20_000);
        mSite.record("version " + version + ", max_header_bytes " + maxHeaderBytes + ": " + status);
        if (status != 200) {
            throw new IllegalStateException("the manifest isn't accepted");
        }
    }

    /** Sends requests on one channel, which is opened again if it was closed. */
    private void call(int caller) {
        Socket socket = null;
        Http in = null;
        for (int i = 0; !mEnd; i++) {
            String id = "c" + caller + "x" + i;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(
                            new InetSocketAddress(
                                    mSite.ip(1 + caller % ENTRIES), mSite.mCallerPort),
                            1000);
                    socket.setSoTimeout(4000);
                    in = new Http(socket.getInputStream());
                    mSite.record("caller " + caller + " opened a channel");
                }
                mRequests.incrementAndGet();
                Http.write(socket.getOutputStream(), "GET /lookup/a HTTP/1.1", head(id), new byte[0]);
                Http.Message answer = in.readAnswer("GET");
                count(id, answer);
                if (answer.header("connection").equalsIgnoreCase("close")) {
                    socket.close();
                    socket = null;
                }
                Thread.sleep(250);
            } catch (IOException e) {
                mOther.incrementAndGet();
                mSite.record(id + " closed: " + e);
                socket = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void count(String id, Http.Message answer) {
        if (answer.mStatus == 200) {
            mServed.incrementAndGet();
            return;
        }
        boolean denied =
                answer.mStatus >= 300
                        && answer.mStatus < 500
                        && !List.of(408, 421, 429).contains(answer.mStatus)
                        && answer.header("response-signature").isEmpty();
        (denied ? mDenied : mOther).incrementAndGet();
        mSite.record(
                id + " got " + answer.mStatus + " " + new String(answer.mBody).trim());
    }

    private List<String> head(String id) {
        List<String> head =
                new ArrayList<>(
                        List.of(
                                "Host: h.example",
                                "Attempt-Id: " + id,
                                "Deadline-Ms: 3000",
                                "Authorization: Token key1"));
        if (mLong) {
            head.add("Cookie: " + "a".repeat(LONG_HEAD));
        }
        return head;
    }
}
