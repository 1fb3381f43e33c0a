import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** A caller's path and query hold letters that aren't ASCII. */
final class RawPath {
    private static final List<String> WORDS =
            List.of("Müller", "Größe 1", "Zürich", "Núñez", "Élysée", "šest", "Ölberg", "数", "ثيس");
    private static final int ROUNDS = 4;

    private final Site mSite;
    private int mSent;
    private int mServed;
    private int mChanged;
    private int mRefused;

    private RawPath(Site site) {
        mSite = site;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
            code = new RawPath(site).run(trouble);
        } catch (IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(code);
    }

    private int run(boolean trouble) throws Exception {
        mSite.start(1);
        new Engine(mSite, "i-app11", "viewer", 11, 6, 5);
        String routes =
                Site.route("tile", "non_idempotent", "viewer", 1500, 1, "")
                        + ","
                        + Site.route("lookup", "idempotent", "viewer", 1500, 2, "");
        String manifest = Site.manifest(1, routes, Site.service("viewer"), 4_194_304);
        if (mSite.call("PUT", "/config", manifest, 20_000) != 200) {
            throw new IllegalStateException("the manifest isn't accepted");
        }
        mSite.awaitReady(1, 20_000);
        Thread.sleep(4000);
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < WORDS.size(); i++) {
                String word = WORDS.get(i).replace(' ', '-');
                send("r" + round + "x" + i, trouble ? word : encoded(word));
                Thread.sleep(100);
            }
        }
        mSite.record(
                "sent " + mSent + ", served " + mServed + ", refused or failed " + mRefused
                        + ", run with another path or query " + mChanged);
        if (mServed == 0 && mRefused == 0) {
            return 2;
        }
        return mChanged > 0 ? 1 : 0;
    }

    /** Returns a word with its bytes other than ASCII percent-encoded. */
    private static String encoded(String word) {
        StringBuilder out = new StringBuilder();
        for (byte b : word.getBytes(StandardCharsets.UTF_8)) {
            if (b >= 0) {
                out.append((char) b);
            } else {
                out.append(String.format("%%%02X", b & 0xff));
            }
        }
        return out.toString();
    }

    private void send(String id, String word) {
        // One char for each byte, as the stand-ins read and write them.
        String bytes =
                new String(word.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        String line = "GET /lookup/" + bytes + "?owner=" + bytes + " HTTP/1.1";
        mSent++;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mSite.ip(1), mSite.mCallerPort), 1000);
            socket.setSoTimeout(4000);
            Http.write(
                    socket.getOutputStream(),
                    line,
                    List.of(
                            "Host: h.example",
                            "Attempt-Id: " + id,
                            "Deadline-Ms: 3000",
                            "Authorization: Token key1"),
                    new byte[0]);
            int status = new Http(socket.getInputStream()).readAnswer("GET").mStatus;
            if (status == 200) {
                mServed++;
            } else {
                mRefused++;
            }
            mSite.record("sent " + id + ": " + hex(line) + " and got " + status);
        } catch (IOException e) {
            mRefused++;
            mSite.record("sent " + id + ": " + hex(line) + " and got " + e);
        }
        String run = mSite.mEngines.get(0).mLines.get(id);
        if (run != null && !run.equals(line)) {
            mChanged++;
            mSite.record("ran  " + id + ": " + hex(run));
        }
    }

    /** Returns a line with its bytes other than ASCII in hexadecimal. */
    private static String hex(String line) {
        StringBuilder out = new StringBuilder();
        for (char c : line.toCharArray()) {
            out.append(c < 0x80 ? String.valueOf(c) : String.format("<%02x>", (int) c));
        }
        return out.toString();
    }
}
