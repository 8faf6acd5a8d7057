import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;

/**
 * One host of six gets SIGTERM while transactions are open on it. Each goes on with short pauses and asks for its commit
 * before the first half of graceS is over; it must be committed.
 *
 * Exits with 1 if a transaction was ended by the host before that, 0 if all were committed, and 2 if the case couldn't
 * run.
 */
final class OpenTransactionCase {
    private static final int CALLERS = 4, STATEMENTS = 9;
    private static final int GRACE_MILLIS = 6_000, COMMIT_MILLIS = Integer.getInteger("commitMillis", 2_850);
    private static final boolean HAS_TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private final Recorder record;
    private volatile long termMillis = Long.MAX_VALUE;
    private int open, committed, ended, other;

    private OpenTransactionCase(Recorder record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Recorder record = new Recorder(Path.of(arguments[0]))) {
            try (Installation installation = new Installation(record, 6)) {
                Runtime.getRuntime().addShutdownHook(new Thread(installation.fleet::close));
                code = new OpenTransactionCase(record).run(installation);
            } catch (IOException | RuntimeException e) {
                record.line("the case couldn't run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run(Installation installation) throws Exception {
        record.line("trouble: %s", HAS_TROUBLE);
        installation.configure(List.of(installation.route("lepu270", "primary", 1_000)));
        if (!installation.start()) return 2;
        Fleet.Host host = installation.fleet.hosts.get(0);
        Thread.sleep(1_000);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            callers.add(Threads.start("caller", () -> call(host, number)));
        }
        for (int i = 0; i < 50 && openCount() < CALLERS; i++) Thread.sleep(20);
        if (openCount() < CALLERS) return 2;
        termMillis = record.millis();
        if (HAS_TROUBLE) installation.fleet.signal(host, "TERM");
        for (Thread caller : callers) caller.join(GRACE_MILLIS);
        if (HAS_TROUBLE) {
            host.process.waitFor(GRACE_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
            record.line("the host has ended: %s", !host.process.isAlive());
        }
        record.line("%d transactions committed, %d ended by the host before half of graceS, %d other ends",
            committed, ended, other);
        if (ended > 0) return 1;
        return committed == CALLERS ? 0 : 2;
    }

    private synchronized int openCount() {
        return open;
    }

    private void call(Fleet.Host host, int number) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(host.front(), 2_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(3_000);
            Lines in = new Lines(socket.getInputStream(), 8_192);
            OutputStream out = socket.getOutputStream();
            out.write(Lines.bytes("START lepu270 " + Installation.KEY));
            String opened = in.next();
            record.line("caller %d: session: %s", number, opened);
            String id = String.format("%02x7a21d94b36", number);
            if (!answers(in, out, number, id + "00", "BEGIN")) return;
            if (!answers(in, out, number, id + "01", "WRITE 1a" + number + " first")) return;
            synchronized (this) {
                open++;
            }
            while (termMillis == Long.MAX_VALUE) Thread.sleep(5);
            for (int i = 1; i < STATEMENTS; i++) {
                sleepUntil(termMillis + (long) i * COMMIT_MILLIS / STATEMENTS);
                if (!answers(in, out, number, id + String.format("%02x", i + 1), "WRITE 1a" + number + " next")) return;
            }
            sleepUntil(termMillis + COMMIT_MILLIS);
            if (!answers(in, out, number, id + "ff", "COMMIT")) return;
            synchronized (this) {
                committed++;
            }
            out.write(Lines.bytes("QUIT"));
        }
    }

    private void sleepUntil(long millis) throws InterruptedException {
        long left = millis - record.millis();
        if (left > 0) Thread.sleep(left);
    }

    /** Runs one statement. Returns false, and counts the end, unless it was answered with success. */
    private boolean answers(Lines in, OutputStream out, int number, String id, String text) throws Exception {
        long sent = record.millis();
        String outcome = null, ready = null;
        try {
            out.write(Lines.bytes("QUERY " + id + " " + text));
            for (String line = in.next(); line != null; line = in.next()) {
                if (line.startsWith("READY ")) {
                    ready = line;
                    break;
                }
                outcome = line;
            }
        } catch (IOException e) {
            outcome = e.toString();
        }
        long now = record.millis();
        boolean isAfterTerm = termMillis != Long.MAX_VALUE;
        record.line("caller %d: %s %s -> %s, %s after %d ms%s", number, id, text, outcome, ready, now - sent,
            isAfterTerm ? ", " + (now - termMillis) + " ms after SIGTERM" : "");
        if (outcome != null && outcome.startsWith("DONE") && ready != null) return true;
        synchronized (this) {
            boolean isEarly = isAfterTerm && sent - termMillis < GRACE_MILLIS / 2 && now - termMillis < GRACE_MILLIS / 2;
            if (isEarly) ended++;
            else other++;
        }
        return false;
    }
}
