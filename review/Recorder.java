import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time since the start in seconds. */
final class Recorder {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        out.println(String.format("%8.3f ", seconds()) + String.format(format, arguments));
        out.flush();
    }
}
