import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The network between entries and an engine: forwards connections, and holds back all bytes of those
 * of processes that are cut off, silently. Also tells which process has sent a request.
 */
final class CutProxy {
    final Set<Long> cut = ConcurrentHashMap.newKeySet();

    /** The process that has sent the request with an id here last. */
    final Map<String, Long> senders = new ConcurrentHashMap<>();

    private final ServerSocket server;
    private final InetSocketAddress engine;
    private final List<Long> processes;

    CutProxy(String address, String engineAddress, List<Long> processes) throws IOException {
        String[] own = address.split(":");
        String[] to = engineAddress.split(":");
        this.processes = processes;
        engine = new InetSocketAddress(to[0], Integer.parseInt(to[1]));
        server = new ServerSocket(Integer.parseInt(own[1]), 200, InetAddress.getByName(own[0]));
        daemon(this::accept);
    }

    private void accept() {
        while (true) {
            try {
                Socket from = server.accept();
                daemon(() -> serve(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket from) {
        try {
            from.setTcpNoDelay(true);
            long pid = pidOf(from.getPort());
            Socket to = new Socket();
            to.setTcpNoDelay(true);
            to.connect(engine, 1000);
            daemon(() -> copy(from, to, pid, true));
            daemon(() -> copy(to, from, pid, false));
        } catch (IOException e) {
            reset(from);
        }
    }

    private void copy(Socket from, Socket to, long pid, boolean requests) {
        byte[] buffer = new byte[16 << 10];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int n;
            while ((n = in.read(buffer)) >= 0) {
                while (cut.contains(pid)) {
                    Thread.sleep(20);
                }
                if (requests) {
                    note(new String(buffer, 0, n, StandardCharsets.ISO_8859_1), pid);
                }
                out.write(buffer, 0, n);
                out.flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void note(String text, long pid) {
        int at = text.indexOf("Attempt-Id: ");
        if (at >= 0) {
            int end = text.indexOf('\r', at);
            senders.put(text.substring(at + 12, end < 0 ? text.length() : end), pid);
        }
    }

    /** Returns which of the processes owns the local port of a connection to here; 0 if none does. */
    private long pidOf(int port) throws IOException {
        for (int i = 0; i < 5; i++) {
            for (String table : List.of("/proc/net/tcp6", "/proc/net/tcp")) {
                for (String line : Files.readAllLines(Path.of(table))) {
                    String[] f = line.trim().split("\\s+");
                    boolean matches =
                            f.length > 9
                                    && f[1].endsWith(String.format(":%04X", port))
                                    && f[2].endsWith(String.format(":%04X", server.getLocalPort()));
                    long pid = matches ? ownerOf("socket:[" + f[9] + "]") : 0;
                    if (pid != 0) {
                        return pid;
                    }
                }
            }
        }
        return 0;
    }

    private long ownerOf(String socket) {
        for (long pid : processes) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("/proc/" + pid + "/fd"))) {
                for (Path file : files) {
                    try {
                        if (Files.readSymbolicLink(file).toString().equals(socket)) {
                            return pid;
                        }
                    } catch (IOException e) {
                        // Closed meanwhile.
                    }
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }
        return 0;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
