import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void write(String line) {
        out.printf("%7d ms  %s%n", (System.nanoTime() - start) / 1_000_000, line);
        out.flush();
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
