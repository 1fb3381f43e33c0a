import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A service's engine in a process of its own. It reports itself to the control processes, and
 * answers as the path says: /upload/ begins its answer, which has no length, when it has read the
 * first part of the body, and ends it when it has read the rest; /stream/ answers with a series of
 * events that has no length either; /busy/ is refused when an id comes first, since all places are
 * taken, and run when it comes again; everything else is answered at once, with a length.
 *
 * <p>Arguments: id, address, service, zone, control addresses joined by commas, milliseconds that
 * /upload/ works before it reads on, and the address
 * that it reports if that is another one. With one more, a refusal is sent once more, late, at the point where
 * the next answer on that channel is expected.
 */
final class Engine {
    /** Requests that were refused at their first arrival. */
    private static final Set<String> REFUSED = ConcurrentHashMap.newKeySet();

    static final int ANSWER_LINES = 1000;
    static final int FIRST_PART_BYTES = 64 << 10;
    static final int EVENTS = 40;
    static final int STREAM_MILLIS = 4000;

    public static void main(String[] args) throws Exception {
        String id = args[0];
        String[] address = args[1].split(":");
        int workMillis = Integer.parseInt(args[5]);
        boolean extra = args.length > 7;
        ServerSocket server = new ServerSocket();
        // The platform's links have small windows, so that who does not read blocks the writer.
        server.setReceiveBufferSize(16 << 10);
        server.bind(new InetSocketAddress(InetAddress.getByName(address[0]), Integer.parseInt(address[1])));
        Thread beats = new Thread(() -> beat(args));
        beats.setDaemon(true);
        beats.start();
        while (true) {
            Socket socket = server.accept();
            Thread thread = new Thread(() -> serve(id, socket, workMillis, extra));
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static void beat(String[] args) {
        List<String> controls = List.of(args[4].split(","));
        for (int i = 0, seq = 1; ; i++) {
            try {
                HttpURLConnection call =
                        (HttpURLConnection)
                                URI.create("http://" + controls.get(i % controls.size()) + "/instances/" + args[0])
                                        .toURL()
                                        .openConnection();
                call.setConnectTimeout(1000);
                call.setReadTimeout(1000);
                call.setRequestMethod("PUT");
                call.setDoOutput(true);
                call.setRequestProperty("Content-Type", "application/json");
                String body =
                        "{\"service\":\"" + args[2] + "\",\"address\":\"" + args[args.length > 6 ? 6 : 1] + "\",\"zone\":\"" + args[3]
                                + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                                + "\"cold_remaining_ms\":0,\"seq\":" + seq++ + "}";
                call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
                if (call.getResponseCode() == 200) {
                    i--;
                    Thread.sleep(1200);
                } else {
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                sleep(100);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void serve(String id, Socket socket, int workMillis, boolean extra) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] late = null;
            while (true) {
                String line = line(in);
                if (line == null) {
                    return;
                }
                String path = line.split(" ")[1];
                TreeMap<String, String> headers = new TreeMap<>();
                for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
                    int colon = h.indexOf(':');
                    headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                String attempt = headers.getOrDefault("attempt-id", "");
                String head =
                        "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: sig." + attempt
                                + "\r\nContent-Type: text/plain\r\n";
                if (late != null) {
                    // The second copy of the answer before, at the point where the next one is expected.
                    out.write(late);
                    out.flush();
                    late = null;
                    System.out.println("sends its earlier answer again, before the one to " + attempt);
                }
                if (path.startsWith("/busy/") && REFUSED.add(attempt)) {
                    in.readNBytes(length);
                    byte[] refusal = refusal(attempt);
                    out.write(refusal);
                    out.flush();
                    System.out.println("is full, refuses " + attempt);
                    late = extra ? refusal : null;
                    continue;
                }
                System.out.println("runs " + attempt + " " + line + " body " + length);
                if (path.startsWith("/stream/")) {
                    in.readNBytes(length);
                    stream(out, head, attempt, STREAM_MILLIS);
                    socket.shutdownOutput();
                    return;
                }
                if (path.startsWith("/upload/")) {
                    upload(in, out, head, attempt, length, workMillis);
                    socket.shutdownOutput();
                    return;
                }
                in.readNBytes(length);
                byte[] body = ("whole answer of " + id + " to " + attempt + "\n").getBytes(StandardCharsets.UTF_8);
                out.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
                out.write(body);
                out.flush();
            }
        } catch (IOException e) {
            System.out.println("channel ended: " + e);
        }
    }

    /**
     * Reads the first part of a body and begins the answer, works for a while, then reads the rest
     * and ends the answer with the channel.
     */
    private static void upload(
            InputStream in, OutputStream out, String head, String attempt, int length, int millis)
            throws IOException {
        byte[] answer = answer(attempt).getBytes(StandardCharsets.UTF_8);
        int first = Math.min(length, FIRST_PART_BYTES);
        in.readNBytes(first);
        out.write((head + "Connection: close\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(answer, 0, answer.length / 2);
        out.flush();
        System.out.println("has begun to answer " + attempt);
        sleep(millis);
        in.readNBytes(length - first);
        out.write(answer, answer.length / 2, answer.length - answer.length / 2);
        out.flush();
        System.out.println("has answered " + attempt);
    }

    /** Writes a stream of events that has no length and ends with its channel. */
    private static void stream(OutputStream out, String head, String attempt, int millis)
            throws IOException {
        String streamHead = head.replace("text/plain", "text/event-stream");
        out.write((streamHead + "Connection: close\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        for (int i = 1; i <= EVENTS; i++) {
            out.write(event(attempt, i).getBytes(StandardCharsets.UTF_8));
            out.flush();
            sleep(millis / EVENTS);
        }
    }

    static String event(String attempt, int number) {
        return "id: " + number + "\ndata: piece " + number + " of " + EVENTS + " to " + attempt + "\n\n";
    }

    /** Returns all events of a stream. */
    static String events(String attempt) {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            events.append(event(attempt, i));
        }
        return events.toString();
    }

    private static byte[] refusal(String attempt) {
        return ("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + attempt
                        + "\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nfull\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the whole answer to an upload. */
    static String answer(String attempt) {
        StringBuilder answer = new StringBuilder();
        for (int i = 1; i <= ANSWER_LINES; i++) {
            answer.append("line ").append(i).append(" of ").append(ANSWER_LINES).append(" to ").append(attempt).append('\n');
        }
        return answer.toString();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return null;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
