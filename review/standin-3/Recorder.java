import java.io.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Recorder implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%7d ms  %s%n", millis(), values.length == 0 ? format : String.format(format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
