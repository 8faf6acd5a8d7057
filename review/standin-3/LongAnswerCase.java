import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * One host of six gets SIGTERM while callers read long answers over it. Each answer must arrive whole, since the
 * callers read steadily and each answer ends well before the route's timeout and before graceS.
 *
 * Exits with 1 if an answer was cut, 0 if none was, and 2 if the case couldn't run.
 */
final class LongAnswerCase {
    private static final int ROWS = Integer.getInteger("rows", 8);
    private static final int ROW_BYTES = Integer.getInteger("rowBytes", 1_000_000);
    private static final int BYTES_PER_SECOND = Integer.getInteger("bytesPerSecond", 5_000_000);
    private static final int CALLERS = Integer.getInteger("callers", 4);
    private static final int TIMEOUT_MILLIS = 3_000, GRACE_MILLIS = 6_000;
    private static final boolean HAS_TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Recorder record;
    private volatile long termMillis = Long.MAX_VALUE;
    private volatile boolean isOver;
    private int whole, cut, other;

    private LongAnswerCase(Recorder record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Recorder record = new Recorder(Path.of(arguments[0]))) {
            try (Installation installation = new Installation(record, 6)) {
                Runtime.getRuntime().addShutdownHook(new Thread(installation.fleet::close));
                code = new LongAnswerCase(record).run(installation);
            } catch (IOException | RuntimeException e) {
                record.line("the case couldn't run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run(Installation installation) throws Exception {
        record.line("trouble: %s; %d rows of %d bytes an answer, read at %d bytes a second by %d callers",
            HAS_TROUBLE, ROWS, ROW_BYTES, BYTES_PER_SECOND, CALLERS);
        String row = "q".repeat(ROW_BYTES - "ROW \r\n".length());
        installation.group.rows = item -> Collections.nCopies(ROWS, row);
        installation.configure(List.of(installation.route("xapu221", "bounded", TIMEOUT_MILLIS)));
        if (!installation.start()) return 2;
        Fleet.Host host = installation.fleet.hosts.get(0);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("caller", () -> call(host, number)));
            Thread.sleep(300);
        }
        Thread.sleep(3_000);
        if (whole == 0) {
            record.line("no answer arrived before the stop");
            return 2;
        }
        termMillis = record.millis();
        if (HAS_TROUBLE) installation.fleet.signal(host, "TERM");
        Thread.sleep(GRACE_MILLIS);
        isOver = true;
        for (Thread caller : callers) caller.join(5_000);
        if (HAS_TROUBLE) {
            if (host.process.isAlive()) record.line("the host still runs after graceS");
            else record.line("the host has ended with %d", host.process.exitValue());
        }
        record.line("%d whole answers, %d cut, %d other ends", whole, cut, other);
        return cut > 0 ? 1 : 0;
    }

    /** Reads long answers one after the other until the connection ends. */
    private void call(Fleet.Host host, int number) throws Exception {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(65_536);
            socket.connect(host.front(), 2_000);
            socket.setTcpNoDelay(true);
            SlowLines in = new SlowLines(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            out.write(Lines.bytes("START xapu221 " + Installation.KEY));
            String opened = in.next();
            if (opened == null || !opened.startsWith("READY I")) {
                record.line("caller %d: session refused: %s", number, opened);
                count(0, 0, 1);
                return;
            }
            for (int request = 0; !isOver; request++) {
                if (!request(in, out, number, String.format("%02x%04x7a21d94b36", number, request))) return;
                Thread.sleep(100);
            }
            out.write(Lines.bytes("QUIT"));
        }
    }

    /** Sends one read and reads its answer. Returns false if the connection has ended. */
    private boolean request(SlowLines in, OutputStream out, int number, String id) throws Exception {
        long sent = record.millis();
        long before = in.byteCount;
        try {
            out.write(Lines.bytes("QUERY " + id + " READ 1a4"));
        } catch (IOException e) {
            record.line("caller %d: the connection had ended before request %s", number, id);
            return false;
        }
        record.line("caller %d sends READ 1a4, id %s", number, id);
        int rows = 0;
        String end = null, ready = null;
        try {
            for (String line = in.next(); line != null; line = in.next()) {
                if (line.startsWith("ROW ")) {
                    if (line.length() != ROW_BYTES - 2) record.line("caller %d: a row of %d bytes", number, line.length());
                    rows++;
                } else if (end == null) {
                    end = line;
                } else {
                    ready = line;
                    break;
                }
            }
        } catch (IOException e) {
            record.line("caller %d: %s", number, e.getMessage());
        }
        long now = record.millis();
        long bytes = in.byteCount - before;
        if (ready != null) {
            record.line("caller %d: %s answered after %d ms: %d rows, %s, %s", number, id, now - sent, rows, end, ready);
            if (end.startsWith("DONE") && rows == ROWS) count(1, 0, 0);
            else count(0, 0, 1);
            return true;
        }
        if (bytes == 0) {
            // The close of an idle session may cross with a request; none of it was taken or passed on then.
            record.line("caller %d: the connection ends without an answer to %s", number, id);
            return false;
        }
        record.line("caller %d: the connection ends %d ms after %s was sent and %d ms after SIGTERM, with %d of %d bytes of its answer",
            number, now - sent, id, now - termMillis, bytes, (long) ROWS * ROW_BYTES);
        boolean isPlanned = now >= termMillis && now < termMillis + GRACE_MILLIS + 1_000 && now - sent < TIMEOUT_MILLIS;
        if (isPlanned) count(0, 1, 0);
        else count(0, 0, 1);
        return false;
    }

    private synchronized void count(int whole, int cut, int other) {
        this.whole += whole;
        this.cut += cut;
        this.other += other;
    }

    /** Reads at a steady rate, as over a link of that bandwidth. */
    private static final class SlowLines extends Lines {
        private final InputStream in;
        private long due = System.nanoTime();

        SlowLines(InputStream in) {
            super(in, 16_384);
            this.in = in;
        }

        @Override
        int read(byte[] target) throws IOException {
            int count = in.read(target);
            long now = System.nanoTime();
            due = Math.max(due, now - 20_000_000) + Math.max(0, count) * 1_000_000_000L / BYTES_PER_SECOND;
            long wait = (due - now) / 1_000_000;
            if (wait > 0) {
                try {
                    Thread.sleep(wait);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            return count;
        }
    }
}
