import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** An engine of a service without a model, as PROTOCOL.md describes it. */
final class Engine {
    final Site mSite;
    final String mId;
    final String mService;
    final String mAddress;
    final int mSlots;
    final int mWorkMillis;
    final ServerSocket mServer;
    final Semaphore mFree;
    final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();

    /** The method, path and query of each request that ran here, byte by byte. */
    final Map<String, String> mLines = new ConcurrentHashMap<>();

    /** How often each request ran here. */
    final Map<String, Integer> mRuns = new ConcurrentHashMap<>();

    /**
     * The share of requests that fail once their work is done, with 503 and without a word on
     * whether they have run.
     */
    volatile double mFailing;

    volatile boolean mStopped;
    private long mSeq;

    Engine(Site site, String id, String service, int machine, int slots, int workMillis)
            throws IOException {
        mSite = site;
        mId = id;
        mService = service;
        mSlots = slots;
        mWorkMillis = workMillis;
        mFree = new Semaphore(slots, true);
        mServer = new ServerSocket();
        mServer.bind(
                new InetSocketAddress(InetAddress.getByName(site.ip(machine)), site.mEnginePort),
                500);
        mAddress = site.ip(machine) + ":" + site.mEnginePort;
        daemon(this::accept);
        daemon(this::report);
        site.mEngines.add(this);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    void stop() throws IOException {
        mStopped = true;
        mServer.close();
        for (Socket socket : mOpen) {
            socket.close();
        }
    }

    String reportBody() {
        return "{\"service\":\"" + mService + "\",\"address\":\"" + mAddress
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":" + mSlots
                + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":" + (++mSeq) + "}";
    }

    private void report() {
        int at = 0;
        while (!mStopped) {
            int status = mSite.callOnce("PUT", "/instances/" + mId, reportBody(), 1 + at % 3);
            if (status / 100 != 2) {
                at++;
            }
            try {
                Thread.sleep(status / 100 == 2 ? 1200 : 100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!mStopped) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                mOpen.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Http in = new Http(socket.getInputStream());
            Http.Message request;
            while ((request = in.readRequest()) != null) {
                answer(socket, request);
            }
        } catch (IOException e) {
            // The caller closed or reset the channel.
        } finally {
            mOpen.remove(socket);
        }
    }

    private void answer(Socket socket, Http.Message request) throws IOException {
        String id = request.header("attempt-id");
        String named = request.header("expect-instance");
        List<String> headers = new ArrayList<>();
        headers.add("Attempt-Id: " + id);
        if (!named.isEmpty() && !named.equals(mId)) {
            headers.add("Not-Executed: 1");
            headers.add("Content-Length: 0");
            Http.write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected", headers, new byte[0]);
            return;
        }
        if (request.mFirst.startsWith("GET /healthz ")) {
            headers.add("Instance-Id: " + mId);
            headers.add("Content-Length: 0");
            Http.write(socket.getOutputStream(), "HTTP/1.1 200 OK", headers, new byte[0]);
            return;
        }
        try {
            if (!mFree.tryAcquire(2, TimeUnit.SECONDS)) {
                headers.add("Not-Executed: 1");
                headers.add("Content-Length: 0");
                Http.write(socket.getOutputStream(), "HTTP/1.1 503 Full", headers, new byte[0]);
                return;
            }
            try {
                mRuns.merge(id, 1, Integer::sum);
                mLines.put(id, request.mFirst);
                Thread.sleep(mWorkMillis);
            } finally {
                mFree.release();
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        if (Math.random() < mFailing) {
            byte[] text = "the database is not available\n".getBytes(StandardCharsets.UTF_8);
            headers.add("Content-Length: " + text.length);
            Http.write(
                    socket.getOutputStream(), "HTTP/1.1 503 Service Unavailable", headers, text);
            mSite.record("engine " + mId + " ran " + id + " and failed with 503");
            return;
        }
        byte[] body = ("done " + id + "\n").repeat(30).getBytes(StandardCharsets.UTF_8);
        headers.add("Response-Signature: " + mId + "." + id);
        headers.add("Content-Length: " + body.length);
        Http.write(socket.getOutputStream(), "HTTP/1.1 200 OK", headers, body);
        mSite.record("engine " + mId + " ran and answered " + id);
    }
}
