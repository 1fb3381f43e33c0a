import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a connection. */
final class Http {
    private final InputStream mIn;

    Http(InputStream in) {
        mIn = new BufferedInputStream(in, 32768);
    }

    static void write(OutputStream out, String first, List<String> headers, byte[] body)
            throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((first + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (String header : headers) {
            all.write((header + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Reads a head; null at the end of the connection before its first byte. */
    Message readHead() throws IOException {
        String first = readLine();
        if (first == null) {
            return null;
        }
        Message message = new Message(first);
        while (true) {
            String line = readLine();
            if (line == null) {
                throw new EOFException("in the head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.mHeaders.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    /** Reads a whole request; null at the end of the connection. */
    Message readRequest() throws IOException {
        Message request = readHead();
        if (request != null) {
            readBody(request, false);
        }
        return request;
    }

    /** Reads a whole answer to a request. */
    Message readAnswer(String method) throws IOException {
        Message answer = readHead();
        if (answer == null) {
            throw new EOFException("no answer");
        }
        answer.mStatus = Integer.parseInt(answer.mFirst.split(" ")[1]);
        if (!method.equals("HEAD") && answer.mStatus != 204 && answer.mStatus != 304) {
            readBody(answer, true);
        }
        return answer;
    }

    private void readBody(Message message, boolean answer) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                int size = Integer.parseInt(line().split(";")[0].trim(), 16);
                if (size == 0) {
                    while (!line().isEmpty()) {
                        continue;
                    }
                    break;
                }
                body.write(bytes(size));
                line();
            }
        } else if (!message.header("content-length").isEmpty()) {
            body.write(bytes(Integer.parseInt(message.header("content-length"))));
        } else if (answer) {
            body.write(mIn.readAllBytes());
        }
        message.mBody = body.toByteArray();
    }

    byte[] bytes(int count) throws IOException {
        byte[] bytes = mIn.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("in the body");
        }
        return bytes;
    }

    String line() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new EOFException();
        }
        return line;
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = mIn.read()) != '\n') {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("in a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** A message's head and body. */
    static final class Message {
        final String mFirst;
        final Map<String, String> mHeaders = new TreeMap<>();
        int mStatus;
        byte[] mBody = new byte[0];

        Message(String first) {
            mFirst = first;
        }

        String header(String name) {
            return mHeaders.getOrDefault(name, "");
        }
    }
}
