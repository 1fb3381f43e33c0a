import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the project's programs as processes, started with the commands of
 * deploy/system.toml, each machine with an address of its own.
 */
final class Site implements AutoCloseable {
    static final int CONTROLS = 3;

    private static final Random RANDOM = new Random();

    final Path mRoot;
    final Path mFolder;
    final BufferedWriter mRecord;
    final int mNet = 20 + RANDOM.nextInt(200);
    final int mSub = 1 + RANDOM.nextInt(250);
    final int mCallerPort;
    final int mReadyPort;
    final int mControlPort;
    final int mFirstPort;
    final int mEnginePort;
    final List<Program> mControls = new ArrayList<>();
    final List<Program> mEntries = new ArrayList<>();
    final List<Engine> mEngines = new CopyOnWriteArrayList<>();
    final long mStartedAt = System.nanoTime();
    private final Map<String, List<String>> mCommands = new TreeMap<>();

    Site(Path root, Path record) throws IOException {
        mRoot = root;
        mFolder = Files.createTempDirectory("quilldyke-case");
        mRecord = Files.newBufferedWriter(record);
        int base = freePorts();
        mCallerPort = base;
        mReadyPort = base + 1;
        mControlPort = base + 2;
        mEnginePort = base + 3;
        mFirstPort = base + 4;
        readCommands();
        // Also if the script is ended from outside, no process of it stays.
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private void killAll() {
        for (Program program : new ArrayList<>(mEntries)) {
            program.kill();
        }
        for (Program program : new ArrayList<>(mControls)) {
            program.kill();
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(Site::delete);
        } catch (IOException e) {
            // It is gone already.
        }
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    /** Writes a line to the record, with the time since the start. */
    void record(String line) {
        String timed =
                String.format(
                        Locale.ROOT, "%8.3f %s", (System.nanoTime() - mStartedAt) / 1e9, line);
        synchronized (mRecord) {
            try {
                mRecord.write(timed);
                mRecord.newLine();
                mRecord.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Machine n's address. */
    String ip(int machine) {
        return "127." + mNet + "." + mSub + "." + machine;
    }

    String control(int machine) {
        return ip(machine) + ":" + mControlPort;
    }

    void start(int entries) throws IOException {
        for (int i = 1; i <= CONTROLS; i++) {
            mControls.add(new Program("control", i, true));
        }
        for (int i = 1; i <= entries; i++) {
            mEntries.add(new Program("entry", i, true));
        }
    }

    /** Sends a call to the control processes in turn until one answers 2xx. */
    int call(String method, String path, String body, long withinMillis) throws Exception {
        long until = System.nanoTime() + withinMillis * 1_000_000;
        int last = 0;
        for (int i = 0; System.nanoTime() < until; i++) {
            last = callOnce(method, path, body, 1 + i % CONTROLS);
            if (last / 100 == 2) {
                return last;
            }
            Thread.sleep(100);
        }
        return last;
    }

    /** Sends a call to one control process; 0 if there is no answer. */
    int callOnce(String method, String path, String body, int machine) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip(machine), mControlPort), 1000);
            socket.setSoTimeout(2000);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            Http.write(
                    socket.getOutputStream(),
                    method + " " + path + " HTTP/1.1",
                    List.of(
                            "Host: " + control(machine),
                            "Content-Type: application/json",
                            "Connection: close",
                            "Content-Length: " + bytes.length),
                    bytes);
            return new Http(socket.getInputStream()).readAnswer("GET").mStatus;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns whether an entry says that it is ready. */
    boolean isReady(int machine) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip(machine), mReadyPort), 500);
            socket.setSoTimeout(1000);
            Http.write(
                    socket.getOutputStream(),
                    "GET /readyz HTTP/1.1",
                    List.of("Host: x", "Connection: close"),
                    new byte[0]);
            return new Http(socket.getInputStream()).readAnswer("GET").mStatus == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(int machine, long withinMillis) throws Exception {
        long until = System.nanoTime() + withinMillis * 1_000_000;
        while (!isReady(machine)) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("entry " + machine + " isn't ready");
            }
            Thread.sleep(100);
        }
    }

    @Override
    public void close() throws IOException {
        for (Engine engine : mEngines) {
            engine.stop();
        }
        killAll();
        mRecord.close();
    }

    private int freePorts() throws IOException {
        for (int i = 0; i < 200; i++) {
            int base = 11_000 + RANDOM.nextInt(20_000);
            boolean free = true;
            for (int port = base; free && port < base + 12; port++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(InetAddress.getByName(ip(1)), port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private void readCommands() throws IOException {
        String role = "";
        for (String line : Files.readAllLines(mRoot.resolve("deploy/system.toml"))) {
            if (line.startsWith("[roles.")) {
                role = line.substring("[roles.".length(), line.indexOf(']'));
            } else if (line.startsWith("run = \"")) {
                String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                mCommands.put(role, List.of(run.split(" ")));
            }
        }
    }

    /** One of the project's programs on a machine. */
    final class Program {
        final String mRole;
        final int mMachine;
        private final Path mSettings;
        private final Path mLog;
        private Process mProcess;

        Program(String role, int machine, boolean first) throws IOException {
            mRole = role;
            mMachine = machine;
            mSettings = mFolder.resolve(role + "-" + machine + ".json");
            mLog = mFolder.resolve(role + "-" + machine + ".log");
            start(first);
        }

        void start(boolean first) throws IOException {
            Files.writeString(mSettings, settings(first));
            ProcessBuilder builder = new ProcessBuilder(mCommands.get(mRole));
            builder.directory(mRoot.toFile());
            builder.environment().put("QUILLDYKE_NODE_FILE", mSettings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
            record("started " + mRole + " " + mMachine + " pid " + mProcess.pid());
        }

        boolean isAlive() {
            return mProcess.isAlive();
        }

        int exitCode() {
            return mProcess.exitValue();
        }

        void terminate() {
            record("SIGTERM to " + mRole + " " + mMachine);
            mProcess.toHandle().destroy();
        }

        void kill() {
            mProcess.toHandle().destroyForcibly();
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void signal(String name) throws Exception {
            record("SIG" + name + " to " + mRole + " " + mMachine);
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        }

        /** Copies lines of its log that hold a text into the record. */
        List<String> log(String text) throws IOException {
            return Files.readAllLines(mLog, StandardCharsets.ISO_8859_1).stream()
                    .filter(line -> line.contains(text))
                    .toList();
        }

        private String settings(boolean first) {
            boolean control = mRole.equals("control");
            List<String> seeds = new ArrayList<>();
            for (int i = 1; i <= CONTROLS; i++) {
                seeds.add("\"" + control(i) + "\"");
            }
            String ip = ip(mMachine);
            return "{\"instance\":\"m-" + mMachine + "\",\"role\":\"" + mRole
                    + "\",\"failureDomain\":\"z" + mMachine
                    + "\",\"callers\":\"" + (control ? "" : ip + ":" + mCallerPort)
                    + "\",\"ready\":\"" + (control ? "" : ip + ":" + mReadyPort)
                    + "\",\"control\":\"" + (control ? ip + ":" + mControlPort : "")
                    + "\",\"ip\":\"" + ip + "\",\"firstPort\":" + mFirstPort
                    + ",\"seeds\":[" + String.join(",", seeds) + "],\"firstStart\":" + first
                    + ",\"dataFolder\":\""
                    + (control ? mFolder.resolve("data-" + mMachine).toString() : "")
                    + "\",\"toleratedLosses\":1,\"timings\":{\"targetReport\":1200,\"apply\":2000,"
                    + "\"revoke\":5000,\"grace\":8000,\"orderLease\":3000,\"convergence\":10000,"
                    + "\"retryWindow\":10000,\"retryRatio\":0.2,\"retryFixed\":62},"
                    + "\"quotaTolerance\":{\"windowMillis\":8000,\"overrun\":0,\"slack\":0},"
                    + "\"rollout\":{\"maxShare\":0,\"slack\":0,\"rollbackMillis\":0},"
                    + "\"regions\":{\"z1\":\"r\",\"z2\":\"r\",\"z3\":\"r\"}}";
        }
    }

    /** Returns a manifest of one service without a model. */
    static String manifest(long version, String routes, String services, long maxBodyBytes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes
                + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
                + "\"sese880\",\"api_keys\":[\"key1\"],\"priority\":1,\"isolated\":false}]}";
    }

    static String route(
            String name, String type, String service, int timeout, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name
                + "/\",\"type\":\"" + type + "\",\"timeout_ms\":" + timeout
                + ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"itl_target_ms\":500"
                + more + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":130,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }
}
