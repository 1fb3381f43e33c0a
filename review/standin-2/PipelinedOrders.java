import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** An operator has two orders in progress on one channel: a valid manifest and an invalid one. */
final class PipelinedOrders {
    private static final int PAIRS = 8;

    private final Site mSite;
    private int mInvalidAcknowledged;
    private int mValidRefused;
    private int mSound;

    private PipelinedOrders(Site site) {
        mSite = site;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Site site = new Site(Path.of(args[0]), Path.of(args[1]))) {
            code = new PipelinedOrders(site).run(trouble);
        } catch (IllegalStateException e) {
            System.err.println(e);
        }
        System.exit(code);
    }

    private static String manifest(long version, int timeoutMillis) {
        return Site.manifest(
                version,
                Site.route("tile", "non_idempotent", "viewer", timeoutMillis, 1, ""),
                Site.service("viewer"),
                4_194_304);
    }

    private int run(boolean trouble) throws Exception {
        mSite.start(1);
        if (mSite.call("PUT", "/config", manifest(1, 1500), 20_000) != 200) {
            throw new IllegalStateException("the first manifest isn't accepted");
        }
        mSite.awaitReady(1, 20_000);
        Thread.sleep(4000);
        for (int i = 0; i < PAIRS; i++) {
            // A timeout of 0 makes the second one invalid.
            String valid = manifest(2 + 2 * i, 1500 + i);
            String invalid = manifest(3 + 2 * i, 0);
            sendPair(1 + i % Site.CONTROLS, valid, invalid, trouble);
            Thread.sleep(1000);
        }
        mSite.record(
                "pairs " + PAIRS + ": invalid acknowledged " + mInvalidAcknowledged
                        + ", valid refused " + mValidRefused + ", answered soundly " + mSound);
        if (mInvalidAcknowledged == 0 && mSound == 0) {
            return 2;
        }
        return mInvalidAcknowledged > 0 ? 1 : 0;
    }

    private void sendPair(int machine, String valid, String invalid, boolean atOnce) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mSite.ip(machine), mSite.mControlPort), 1000);
            socket.setSoTimeout(4000);
            socket.setTcpNoDelay(true);
            Http in = new Http(socket.getInputStream());
            Http.Message first;
            Http.Message second;
            if (atOnce) {
                ByteArrayOutputStream both = new ByteArrayOutputStream();
                both.write(order(valid));
                both.write(order(invalid));
                socket.getOutputStream().write(both.toByteArray());
                first = in.readAnswer("PUT");
                second = in.readAnswer("PUT");
            } else {
                socket.getOutputStream().write(order(valid));
                first = in.readAnswer("PUT");
                socket.getOutputStream().write(order(invalid));
                second = in.readAnswer("PUT");
            }
            mSite.record("control " + machine + " sent " + valid);
            mSite.record("   the first answer: " + text(first));
            mSite.record("control " + machine + " sent " + invalid);
            mSite.record("   the second answer: " + text(second));
            if (second.mStatus / 100 == 2) {
                mInvalidAcknowledged++;
            }
            if (first.mStatus / 100 == 4) {
                mValidRefused++;
            }
            if (first.mStatus / 100 == 2 && second.mStatus / 100 == 4) {
                mSound++;
            }
        } catch (IOException e) {
            mSite.record("control " + machine + ": " + e);
        }
    }

    private static String text(Http.Message answer) {
        return answer.mStatus + " " + new String(answer.mBody, StandardCharsets.UTF_8);
    }

    private static byte[] order(String manifest) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] body = manifest.getBytes(StandardCharsets.UTF_8);
        Http.write(
                out,
                "PUT /config HTTP/1.1",
                List.of(
                        "Host: control",
                        "Content-Type: application/json",
                        "Content-Length: " + body.length),
                body);
        return out.toByteArray();
    }
}
