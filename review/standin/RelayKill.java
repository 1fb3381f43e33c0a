import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * An entry that lost its paths to the engine has another entry relay a stream, whose answer has no
 * length. That entry is killed (SIGKILL). The caller must not get what there is of the stream as a
 * complete one.
 */
final class RelayKill {
    private static final int ENTRIES = 6;

    /** Engines of another service, so that one engine of five is cut off, from one machine of six. */
    private static final int OTHER_ENGINES = 4;
    private static final int KILL_AFTER_MILLIS = 1000;

    /** The default length of a cut (srv_cut) in the list of troubles. */
    private static final int CUT_MILLIS = 5000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[3].equals("0");
        int result = Site.COULD_NOT_RUN;
        try (Record record = new Record(Path.of(args[2]));
                Site site = new Site(Path.of(args[0]), Path.of(args[1]), 3)) {
            result = play(site, record, trouble);
        } catch (Exception e) {
            System.out.println("couldn't run: " + e);
        }
        System.exit(result);
    }

    private static int play(Site site, Record record, boolean trouble) throws Exception {
        for (int i = 1; i <= 3; i++) {
            site.start("control", i, true);
        }
        List<Process> entries = new ArrayList<>();
        List<Long> pids = new ArrayList<>();
        for (int i = 1; i <= ENTRIES; i++) {
            entries.add(site.start("entry", i, true));
            pids.add(entries.get(i - 1).pid());
        }
        if (!site.publish(manifest(), 30_000)) {
            record.write("the manifest was not accepted");
            return Site.COULD_NOT_RUN;
        }
        for (int i = 1; i <= ENTRIES; i++) {
            if (!site.awaitReady(i, 30_000)) {
                record.write("entry " + i + " didn't start");
                return Site.COULD_NOT_RUN;
            }
        }
        String engineAddress = site.ip(12) + ":" + (site.firstPort + 3);
        String proxyAddress = site.ip(11) + ":" + (site.firstPort + 2);
        CutProxy proxy = new CutProxy(proxyAddress, engineAddress, pids);
        String controls = site.control(1) + "," + site.control(2) + "," + site.control(3);
        site.startStandIn("Engine", List.of("i-1", engineAddress, "s", "zone-1", controls, "3000", proxyAddress));
        for (int i = 1; i <= OTHER_ENGINES; i++) {
            String address = site.ip(12 + i) + ":" + (site.firstPort + 3);
            site.startStandIn("Engine", List.of("other-" + i, address, "t", Site.zone(i), controls, "3000"));
        }
        if (!awaitServed(site, record, "first", 20_000)) {
            return Site.COULD_NOT_RUN;
        }
        long cutAt = 0;
        if (trouble) {
            record.write("entry 1 is cut off from the engine");
            proxy.cut.add(pids.get(0));
            cutAt = System.nanoTime();
            if (!awaitRelayed(site, record, proxy, pids)) {
                return Site.COULD_NOT_RUN;
            }
        }
        String id = "stream-1";
        if (trouble) {
            Thread killer =
                    new Thread(
                            () -> {
                                try {
                                    Thread.sleep(KILL_AFTER_MILLIS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                long sender = proxy.senders.getOrDefault(id, 0L);
                                int relay = pids.indexOf(sender);
                                record.write("the engine was sent " + id + " by entry " + (relay + 1));
                                if (relay > 0) {
                                    record.write("SIGKILL to entry " + (relay + 1));
                                    entries.get(relay).destroyForcibly();
                                }
                            });
            killer.start();
        }
        record.write("request " + id + ": POST /stream/x to entry 1, streaming");
        Answer answer = send(site, "/stream/x", id, 12_000);
        if (trouble) {
            long millis = (System.nanoTime() - cutAt) / 1_000_000;
            proxy.cut.clear();
            record.write("entry 1 reaches the engine again after " + millis + " ms");
            if (millis > CUT_MILLIS) {
                record.write("the cut took longer than the pages' " + CUT_MILLIS + " ms");
                return Site.COULD_NOT_RUN;
            }
        }
        String whole = Engine.events(id);
        long pieces = answer.body.lines().filter(line -> line.startsWith("id:")).count();
        record.write(
                "answer " + id + ": status " + answer.status + ", signature " + answer.signature + ", ended as complete "
                        + answer.complete + ", " + pieces + " of " + Engine.EVENTS + " pieces " + answer.error);
        boolean broken = answer.status == 200 && answer.complete && !answer.body.equals(whole);
        record.write(broken ? "ORDER is broken: the stream ends as complete before its last piece" : "ORDER holds");
        if (!trouble && !(answer.complete && answer.body.equals(whole))) {
            record.write("without trouble the stream should be whole");
            return Site.COULD_NOT_RUN;
        }
        return broken ? Site.BROKEN : Site.HELD;
    }

    /** Sends short requests to entry 1 until one is answered through another entry. */
    private static boolean awaitRelayed(Site site, Record record, CutProxy proxy, List<Long> pids)
            throws Exception {
        AtomicBoolean relayed = new AtomicBoolean();
        long until = System.nanoTime() + 3_000_000_000L;
        for (int i = 1; !relayed.get() && System.nanoTime() < until; i++) {
            String name = "cut-" + i;
            Thread call =
                    new Thread(
                            () -> {
                                int status = send(site, "/plain/x", name, 1000).status;
                                long sender = proxy.senders.getOrDefault(name, 0L);
                                if (status == 200 && pids.indexOf(sender) > 0 && relayed.compareAndSet(false, true)) {
                                    record.write(
                                            "request " + name + " to entry 1 is served through entry "
                                                    + (pids.indexOf(sender) + 1));
                                }
                            });
            call.setDaemon(true);
            call.start();
            Thread.sleep(100);
        }
        if (!relayed.get()) {
            record.write("no request was relayed");
        }
        return relayed.get();
    }

    private static boolean awaitServed(Site site, Record record, String name, long millis) throws Exception {
        long until = System.nanoTime() + millis * 1_000_000;
        for (int i = 1; System.nanoTime() < until; i++) {
            if (send(site, "/plain/x", name + "-" + i, 2000).status == 200) {
                record.write("request " + name + "-" + i + " to entry 1 is served");
                return true;
            }
            Thread.sleep(200);
        }
        record.write("no request was served");
        return false;
    }

    private static Answer send(Site site, String path, String id, int deadlineMillis) {
        Answer answer = new Answer();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (Socket socket = new Socket(site.ip(1), site.callerPort)) {
            socket.setSoTimeout(20_000);
            String head =
                    "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token key1\r\nContent-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            String line = line(in);
            if (line == null) {
                answer.error = "(channel closed)";
                return answer;
            }
            answer.status = Integer.parseInt(line.split(" ")[1]);
            int length = -1;
            boolean chunked = false;
            for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                String lower = h.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(h.substring(15).trim());
                } else if (lower.startsWith("response-signature:")) {
                    answer.signature = h.substring(19).trim();
                } else if (lower.startsWith("transfer-encoding:")) {
                    chunked = lower.contains("chunked");
                }
            }
            if (chunked) {
                answer.complete = readChunks(in, body);
            } else if (length >= 0) {
                byte[] bytes = in.readNBytes(length);
                body.write(bytes);
                answer.complete = bytes.length == length;
            }
        } catch (IOException e) {
            answer.error = e.toString();
        }
        answer.body = body.toString(StandardCharsets.UTF_8);
        return answer;
    }

    /** Reads a body in chunks; returns whether the last one came. */
    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                return false;
            }
            int length = Integer.parseInt(size.trim(), 16);
            if (length == 0) {
                return line(in) != null;
            }
            byte[] bytes = in.readNBytes(length);
            body.write(bytes);
            if (bytes.length < length || line(in) == null) {
                return false;
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString(StandardCharsets.UTF_8).replace("\r", "");
            }
            line.write(c);
        }
        return null;
    }

    private static String manifest() {
        String route =
                "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"type\":\"%s\","
                        + "\"timeout_ms\":12000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"s\","
                        + "\"max_attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false,"
                        + "\"itl_target_ms\":500}";
        return "{\"version\":3,\"routes\":[" + route.formatted("stream", "/stream/", "streaming") + ","
                + route.formatted("plain", "/plain/", "idempotent")
                + "],\"services\":[" + service("s") + "," + service("t") + "],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":130,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    private static final class Answer {
        int status;
        String signature = "";
        String body = "";
        String error = "";
        boolean complete;
    }
}
