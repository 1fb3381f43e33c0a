import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An engine begins an answer without a length while a long body is still on its way, and crashes
 * (SIGKILL). The caller must not get what there is of the answer as a whole one.
 */
final class CutUpload {
    /** One of them crashes, a share of 0.25 of the service. */
    private static final int ENGINES = 4;

    private static final int WORK_MILLIS = 2000;
    private static final int KILL_AFTER_MILLIS = 1000;
    private static final int BODY_BYTES = 4 << 20;

    public static void main(String[] args) throws Exception {
        Path root = Path.of(args[0]);
        Path work = Path.of(args[1]);
        boolean trouble = !args[3].equals("0");
        int result = Site.COULD_NOT_RUN;
        try (Record record = new Record(Path.of(args[2]));
                Site site = new Site(root, work, 3)) {
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
        site.start("entry", 1, true);
        if (!site.publish(manifest(), 30_000) || !site.awaitReady(1, 30_000)) {
            record.write("the site didn't start");
            return Site.COULD_NOT_RUN;
        }
        String controls = site.control(1) + "," + site.control(2) + "," + site.control(3);
        List<Process> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            String address = site.ip(4 + i) + ":" + (site.firstPort + 2);
            engines.add(
                    site.startStandIn(
                            "Engine",
                            List.of("i-" + i, address, "s", Site.zone(i), controls, Integer.toString(WORK_MILLIS))));
        }
        if (!awaitServed(site)) {
            record.write("no request was served");
            return Site.COULD_NOT_RUN;
        }
        String id = "upload-1";
        if (trouble) {
            Thread killer =
                    new Thread(
                            () -> {
                                try {
                                    Thread.sleep(KILL_AFTER_MILLIS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                int i = begunBy(site, id);
                                if (i > 0) {
                                    record.write("SIGKILL to engine i-" + i + ", which has begun to answer; one of " + ENGINES);
                                    engines.get(i - 1).destroyForcibly();
                                }
                            });
            killer.start();
        }
        record.write("request " + id + ": POST /upload/x, " + BODY_BYTES + " bytes, non_idempotent");
        Answer answer = send(site, "POST", "/upload/x", id, BODY_BYTES);
        String whole = Engine.answer(id);
        record.write(
                "answer " + id + ": status " + answer.status + ", signature " + answer.signature + ", framed as complete "
                        + answer.complete + ", " + answer.body.length() + " of " + whole.length() + " bytes of the engine's body");
        boolean broken = answer.status == 200 && answer.complete && !answer.body.equals(whole);
        record.write(broken ? "MIXED is broken: a success whose body isn't the engine's whole body" : "MIXED holds");
        if (!trouble && !(answer.status == 200 && answer.body.equals(whole))) {
            record.write("without trouble the answer should be whole");
            return Site.COULD_NOT_RUN;
        }
        return broken ? Site.BROKEN : Site.HELD;
    }

    /** Returns which engine has begun to answer a request; 0 if none has. */
    private static int begunBy(Site site, String id) {
        for (int i = 1; i <= ENGINES; i++) {
            try {
                if (Files.readString(site.work.resolve("Engine-i-" + i + ".log")).contains("has begun to answer " + id)) {
                    return i;
                }
            } catch (IOException e) {
                // It has written nothing yet.
            }
        }
        return 0;
    }

    private static boolean awaitServed(Site site) throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        for (int i = 1; System.nanoTime() < until; i++) {
            if (send(site, "POST", "/plain/x", "first-" + i, 10).status == 200) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    private static Answer send(Site site, String method, String path, String id, int bodyBytes) throws IOException {
        Answer answer = new Answer();
        try (Socket socket = new Socket(site.ip(1), site.callerPort)) {
            socket.setSoTimeout(20_000);
            byte[] body = new byte[bodyBytes];
            java.util.Arrays.fill(body, (byte) 'b');
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: 15000\r\nAuthorization: Token key1\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            InputStream in = socket.getInputStream();
            String line = line(in);
            if (line == null) {
                return answer;
            }
            answer.status = Integer.parseInt(line.split(" ")[1]);
            int length = -1;
            for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                String lower = h.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(h.substring(15).trim());
                } else if (lower.startsWith("response-signature:")) {
                    answer.signature = h.substring(19).trim();
                }
            }
            byte[] bytes = length < 0 ? new byte[0] : in.readNBytes(length);
            answer.complete = bytes.length == length;
            answer.body = new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException e) {
            answer.error = e.toString();
        }
        return answer;
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
                "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"type\":\"non_idempotent\","
                        + "\"timeout_ms\":15000,\"target_latency_ms\":5000,\"priority\":1,\"service\":\"s\","
                        + "\"max_attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}";
        return "{\"version\":3,\"routes\":[" + route.formatted("upload", "/upload/") + ","
                + route.formatted("plain", "/plain/")
                + "],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":130,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}";
    }

    private static final class Answer {
        int status;
        String signature = "";
        String body = "";
        String error = "";
        boolean complete;
    }
}
