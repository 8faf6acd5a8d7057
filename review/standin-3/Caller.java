import java.io.*;
import java.net.*;
import java.util.*;

/** One session of a client, which sends one request after the other. */
final class Caller implements AutoCloseable {
    /** The rows, the line DONE or ERR (null when the connection ended before), and the line READY. */
    record Answer(List<String> rows, String outcome, String ready) {
        boolean isSuccess() {
            return ready != null && outcome != null && outcome.startsWith("DONE");
        }
    }

    private final Recorder record;
    private final Socket socket = new Socket();
    private final Lines in;
    private final OutputStream out;

    /** Opens a session; [record] may be null. */
    Caller(Recorder record, Fleet.Host host, String database) throws IOException {
        this.record = record;
        socket.connect(host.front(), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(5_000);
        in = new Lines(socket.getInputStream(), 8_192);
        out = socket.getOutputStream();
        out.write(Lines.bytes("START " + database + " " + Installation.KEY));
        String opened = in.next();
        if (opened == null || !opened.startsWith("READY")) throw new IOException("session refused: " + opened);
    }

    Answer ask(String id, String text) {
        List<String> rows = new ArrayList<>();
        String outcome = null, ready = null;
        try {
            out.write(Lines.bytes("QUERY " + id + " " + text));
            while (ready == null) {
                String line = in.next();
                if (line == null) break;
                if (line.startsWith("ROW ")) rows.add(line.substring(4));
                else if (line.startsWith("READY ")) ready = line;
                else outcome = line;
            }
        } catch (IOException e) {
            outcome = e.toString();
        }
        if (record != null) record.line("caller: %s %s -> %s %s, %s", id, text, rows, outcome, ready);
        return new Answer(rows, outcome, ready);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
