import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One of four engines crashes (SIGKILL). The others are full when a request comes first, and have a
 * place when it comes again; one of them sends its refusals a second time, late. A request
 * that can't be repeated must run once at most, and not at all if its caller is told that it hasn't run.
 */
final class LateRefusal {
    private static final int ENGINES = 4;

    /** Engines that send refusals twice: a quarter of them; the pages' garble has a share of 0.35 to 0.6. */
    private static final int GARBLING = 1;

    private static final int ROUNDS = 10;

    /** Other requests in each round, so that few of an engine's answers (x 0.03) come twice. */
    private static final int OTHERS = 80;

    public static void main(String[] args) throws Exception {
        boolean trouble = !args[3].equals("0");
        int result = Site.COULD_NOT_RUN;
        try (Record record = new Record(Path.of(args[2]));
                Site site = new Site(Path.of(args[0]), Path.of(args[1]), 3)) {
            result = play(site, record, trouble, Path.of(args[1]));
        } catch (Exception e) {
            System.out.println("couldn't run: " + e);
        }
        System.exit(result);
    }

    private static int play(Site site, Record record, boolean trouble, Path work) throws Exception {
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
            List<String> arguments =
                    new ArrayList<>(List.of("i-" + i, address, "s", Site.zone(i), controls, "0", address));
            if (trouble && i <= GARBLING) {
                arguments.add("extra");
            }
            engines.add(site.startStandIn("Engine", arguments));
        }
        if (!awaitAll(site, work)) {
            record.write("not all engines were heard of");
            return Site.COULD_NOT_RUN;
        }
        if (trouble) {
            record.write("SIGKILL to engine i-" + ENGINES);
            engines.get(ENGINES - 1).destroyForcibly();
            engines.get(ENGINES - 1).waitFor();
        }
        List<Integer> statuses = new ArrayList<>();
        int others = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            for (int i = 1; i <= OTHERS; i++) {
                others += send(site, "/plain/x", "other-" + round + "-" + i) == 200 ? 1 : 0;
            }
            statuses.add(send(site, "/busy/x", "hold-" + round));
            Thread.sleep(100);
        }
        record.write(others + " of " + ROUNDS * OTHERS + " other requests were answered 200");
        Thread.sleep(1000);
        List<List<String>> logs = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            List<String> log = Files.readAllLines(work.resolve("Engine-i-" + i + ".log"));
            logs.add(log);
            long answers = log.stream().filter(l -> l.startsWith("runs") || l.startsWith("is full")).count();
            long sentTwice = log.stream().filter(l -> l.startsWith("sends its")).count();
            record.write("engine i-" + i + ": " + answers + " answers, " + sentTwice + " of them sent twice");
        }
        boolean twice = false;
        boolean refusedAndRun = false;
        for (int round = 1; round <= ROUNDS; round++) {
            String id = "hold-" + round;
            List<String> runs = new ArrayList<>();
            for (int i = 1; i <= ENGINES; i++) {
                for (String line : logs.get(i - 1)) {
                    if (line.startsWith("runs " + id + " ")) {
                        runs.add("i-" + i);
                    }
                }
            }
            boolean promised = List.of(408, 421, 429, 503).contains(statuses.get(round - 1));
            twice |= runs.size() > 1;
            refusedAndRun |= promised && !runs.isEmpty();
            record.write(
                    "request " + id + ": POST /busy/x, non_idempotent; answered " + statuses.get(round - 1) + "; run by " + runs);
        }
        record.write(twice ? "TWICE is broken: a request that isn't idempotent runs more than once" : "TWICE holds");
        record.write(refusedAndRun ? "REFUSED is broken: a request was answered 503 and has run" : "REFUSED holds");
        return twice || refusedAndRun ? Site.BROKEN : Site.HELD;
    }

    /** Waits until the entry has heard of all engines, and has served some requests. */
    private static boolean awaitAll(Site site, Path work) throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        Path log = work.resolve("entry-1.log");
        int served = 0;
        while (System.nanoTime() < until) {
            served += send(site, "/plain/x", "first-" + System.nanoTime()) == 200 ? 1 : 0;
            boolean all = served > 20;
            for (int i = 1; i <= ENGINES; i++) {
                all &= Files.readString(log).contains("target=i-" + i + " address=");
            }
            if (all) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    private static int send(Site site, String path, String id) {
        try (Socket socket = new Socket(site.ip(1), site.callerPort)) {
            socket.setSoTimeout(5000);
            String head =
                    "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
                            + "\r\nDeadline-Ms: 3000\r\nAuthorization: Token key1\r\nContent-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
                line.write(c);
            }
            return line.size() == 0 ? 0 : Integer.parseInt(line.toString(StandardCharsets.UTF_8).split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    private static String manifest() {
        String route =
                "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"type\":\"non_idempotent\","
                        + "\"timeout_ms\":3000,\"target_latency_ms\":386,\"priority\":2,\"service\":\"s\","
                        + "\"max_attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}";
        return "{\"version\":3,\"routes\":[" + route.formatted("busy", "/busy/") + ","
                + route.formatted("plain", "/plain/")
                + "],\"services\":[{\"name\":\"s\",\"health_path\":\"/healthz\",\"max_conns\":130,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}";
    }
}
