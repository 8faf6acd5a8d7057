import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One session of a client. It sends one statement at a time and waits for its whole answer. */
final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(0x1000);

    /** [code] is DONE, or the code of the error, or CLOSED when the connection ended without a whole answer. */
    record Answer(String id, String code, String text, String state) {
        boolean isDone() {
            return code.equals("DONE");
        }
    }

    private final Socket socket = new Socket();
    private final BufferedReader in;
    private final OutputStream out;
    private final String name;
    private final Recorder record;
    boolean isOpen;

    Client(String name, String ip, int port, String database, String key, Recorder record) throws IOException {
        this.name = name;
        this.record = record;
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 2_000);
        socket.setSoTimeout(10_000);
        in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        out = socket.getOutputStream();
        send("START " + database + " " + key);
        String line = in.readLine();
        isOpen = line != null && line.startsWith("READY");
        if (!isOpen) record.line("client %s: session refused: %s", name, line);
    }

    static String newId() {
        return Long.toHexString(0x5c0e7a21d9000000L + IDS.incrementAndGet());
    }

    private void send(String line) throws IOException {
        out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    Answer run(String text) {
        return run(newId(), text);
    }

    Answer run(String id, String text) {
        record.line("client %s sends %s %s", name, id, text);
        Answer answer;
        try {
            send("QUERY " + id + " " + text);
            answer = read(id);
        } catch (IOException e) {
            answer = new Answer(id, "CLOSED", e.getMessage(), "-");
        }
        if (answer.code.equals("CLOSED")) isOpen = false;
        record.line("client %s gets for %s: %s %s %s", name, id, answer.code, answer.text, answer.state);
        return answer;
    }

    private Answer read(String id) throws IOException {
        String code = null;
        String text = "";
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split(" ", 3);
            switch (words[0]) {
                case "DONE" -> {
                    code = "DONE";
                    text = words.length > 1 ? words[1] : "";
                }
                case "ERR" -> {
                    code = words[1];
                    text = words.length > 2 ? words[2] : "";
                }
                case "READY" -> {
                    return new Answer(id, code, text, words[1]);
                }
                default -> { }
            }
        }
        return new Answer(id, "CLOSED", "the connection has ended", "-");
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }
}
