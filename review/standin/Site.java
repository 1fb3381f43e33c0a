import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the project's own programs, each a process started by the command
 * of its role in deploy/system.toml, with the settings that deploy/settings.json.template makes of
 * the values in the users' pages. Also starts other processes of a test, and ends all of them.
 */
final class Site implements AutoCloseable {
    static final int ZONES = 4;

    /** Exit codes, which run.sh turns into 1, 0 and 2: a Java machine that fails ends with 1, too. */
    static final int BROKEN = 10;

    static final int HELD = 0;
    static final int COULD_NOT_RUN = 12;

    private static final long MAX_MILLIS = 100_000;
    private static final Random RANDOM = new Random();

    final Path root;
    final Path work;
    final String net;
    final int callerPort;
    final int readyPort;
    final int controlPort;
    final int firstPort;
    final List<Process> all = new CopyOnWriteArrayList<>();
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int controls;

    Site(Path root, Path work, int controls) throws IOException {
        this.root = root;
        this.work = work;
        this.controls = controls;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Thread watchdog = new Thread(Site::endLate);
        watchdog.setDaemon(true);
        watchdog.start();
        net = "127." + (41 + RANDOM.nextInt(180)) + "." + (1 + RANDOM.nextInt(250)) + ".";
        List<Integer> ports = freePorts(5);
        callerPort = ports.get(0);
        readyPort = ports.get(1);
        controlPort = ports.get(2);
        firstPort = ports.get(3);
    }

    /** Ends a test that takes too long; the processes end with it. */
    private static void endLate() {
        try {
            Thread.sleep(MAX_MILLIS);
        } catch (InterruptedException e) {
            return;
        }
        System.out.println("takes too long");
        System.exit(COULD_NOT_RUN);
    }

    /** Returns free ports at the loopback addresses of the site; the port after each is free, too. */
    private List<Integer> freePorts(int count) throws IOException {
        List<Integer> found = new ArrayList<>();
        while (found.size() < count) {
            int port = 12_000 + 4 * RANDOM.nextInt(4_500);
            if (!found.contains(port) && isFree(port) && isFree(port + 1)) {
                found.add(port);
            }
        }
        return found;
    }

    private boolean isFree(int port) {
        for (int machine = 1; machine <= 18; machine++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip(machine)))) {
                socket.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    String ip(int machine) {
        return net + machine;
    }

    String entry(int machine) {
        return ip(machine) + ":" + callerPort;
    }

    String ready(int machine) {
        return ip(machine) + ":" + readyPort;
    }

    String control(int machine) {
        return ip(machine) + ":" + controlPort;
    }

    static String zone(int machine) {
        return "zone-" + (1 + (machine - 1) % ZONES);
    }

    /** Starts the role of a machine; a control process keeps its folder over restarts. */
    Process start(String role, int machine, boolean first) throws IOException {
        boolean control = role.equals("control");
        Path data = work.resolve("data-" + machine);
        if (control) {
            Files.createDirectories(data);
        }
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(3, controls); i++) {
            seeds.add("\"" + control(i) + "\"");
        }
        String settings =
                "{\n  \"instance\": \"edge-" + zone(machine) + "-" + machine + "\",\n"
                        + "  \"role\": \"" + role + "\",\n"
                        + "  \"failureDomain\": \"" + zone(machine) + "\",\n"
                        + "  \"callers\": \"" + (control ? "" : entry(machine)) + "\",\n"
                        + "  \"ready\": \"" + (control ? "" : ready(machine)) + "\",\n"
                        + "  \"control\": \"" + (control ? control(machine) : "") + "\",\n"
                        + "  \"ip\": \"" + ip(machine) + "\",\n"
                        + "  \"firstPort\": " + firstPort + ",\n"
                        + "  \"seeds\": [" + String.join(", ", seeds) + "],\n"
                        + "  \"firstStart\": " + first + ",\n"
                        + "  \"dataFolder\": \"" + (control ? data : "") + "\",\n"
                        + "  \"toleratedLosses\": 1,\n"
                        + "  \"timings\": {\"targetReport\": 1200, \"apply\": 2000, \"revoke\": 5000,"
                        + " \"grace\": 8000, \"orderLease\": 3000, \"convergence\": 10000,"
                        + " \"retryWindow\": 10000, \"retryRatio\": 0.2, \"retryFixed\": 62},\n"
                        + "  \"quotaTolerance\": {\"windowMillis\": 8000, \"overrun\": 0, \"slack\": 0},\n"
                        + "  \"rollout\": {\"maxShare\": 0, \"slack\": 0, \"rollbackMillis\": 0},\n"
                        + "  \"regions\": {\"zone-1\": \"region-1\", \"zone-2\": \"region-1\","
                        + " \"zone-3\": \"region-1\", \"zone-4\": \"region-1\"}\n}\n";
        Path file = work.resolve(role + "-" + machine + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role)).directory(root.toFile());
        // As on the platform: nothing of the caller but these.
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("QUILLDYKE_NODE_FILE", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(
                        work.resolve(role + "-" + machine + ".log").toFile()));
        Process process = builder.start();
        all.add(process);
        return process;
    }

    /** Returns the words of the run line of a role in the deploy file. */
    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher section =
                Pattern.compile("(?s)\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
        if (!section.find()) {
            throw new IOException("no run line of role " + role);
        }
        return new ArrayList<>(Arrays.asList(section.group(1).split(" ")));
    }

    /** Starts a stand-in of this folder as a process of its own. */
    Process startStandIn(String name, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add("java");
        command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-cp", Path.of(System.getProperty("java.class.path")).toAbsolutePath().toString(), name));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).directory(work.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(
                        work.resolve(name + "-" + arguments.get(0) + ".log").toFile()));
        Process process = builder.start();
        all.add(process);
        return process;
    }

    /** Calls a control process; returns the status, 0 if there was no answer. */
    int call(String method, int machine, String path, String body) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + control(machine) + path))
                            .timeout(Duration.ofSeconds(1))
                            .header("Content-Type", "application/json")
                            .method(method, HttpRequest.BodyPublishers.ofString(body))
                            .build();
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Sends a manifest to one control process after the other until it is acknowledged. */
    boolean publish(String manifest, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; System.nanoTime() < until; i++) {
            if (call("PUT", 1 + i % controls, "/config", manifest) == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Waits until an entry says that it is ready. */
    boolean awaitReady(int machine, long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            try {
                HttpRequest request =
                        HttpRequest.newBuilder(URI.create("http://" + ready(machine) + "/readyz"))
                                .timeout(Duration.ofSeconds(1))
                                .build();
                if (http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not up yet.
            }
            Thread.sleep(100);
        }
        return false;
    }

    @Override
    public void close() {
        for (Process process : all) {
            process.destroyForcibly();
        }
        for (Process process : all) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
