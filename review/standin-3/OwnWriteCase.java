import java.io.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;

/**
 * Sessions write, and read in a transaction. Then a config gives their database a route of type session in place of one
 * of type bounded. Once the host has shown that the config is in force, they read: each read must show the session's own
 * write.
 *
 * One replica of two is behind by what `replica_lag` allows. Exits with 1 if a read missed the session's own commit, 0 if
 * none did, and 2 if the case couldn't run.
 */
final class OwnWriteCase {
    private static final boolean HAS_TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int LAG_MILLIS = 1_200, SESSIONS = 12, READS = 3;
    private static final int READ_MILLIS = 33, WRITE_MILLIS = 11, BACK_MILLIS = 250;

    private final Recorder record;
    private final Installation installation;
    private final CountDownLatch isInForce = new CountDownLatch(1);
    private volatile boolean isOver;
    private int stale, fresh, other;

    private OwnWriteCase(Recorder record, Installation installation) {
        this.record = record;
        this.installation = installation;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Recorder record = new Recorder(Path.of(arguments[0]))) {
            try (Installation installation = new Installation(record, 6)) {
                Runtime.getRuntime().addShutdownHook(new Thread(installation.fleet::close));
                code = new OwnWriteCase(record, installation).run();
            } catch (IOException | RuntimeException e) {
                record.line("the case couldn't run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        record.line("trouble: %s", HAS_TROUBLE);
        Map<String, Object> primary = installation.route("lepu270", "primary", 1_000);
        installation.configure(List.of(installation.route("xapu221", "bounded", 3_000), primary));
        for (Database database : installation.group.databases) {
            database.readMillis = READ_MILLIS;
            database.writeMillis = WRITE_MILLIS;
        }
        if (!installation.start()) return 2;
        Fleet.Host host = installation.fleet.hosts.get(0);
        for (String database : List.of("lepu270", "xapu221", "xapu221")) Threads.start("others", () -> others(host, database));
        Thread.sleep(2_500);

        Database lagging = installation.group.databases.get(1);
        if (HAS_TROUBLE) {
            lagging.lagMillis = LAG_MILLIS;
            record.line("%s applies commits %d ms late from now on", lagging.id, LAG_MILLIS);
        }
        Thread.sleep(500);
        CountDownLatch written = new CountDownLatch(SESSIONS);
        List<Thread> sessions = new ArrayList<>();
        for (int i = 0; i < SESSIONS; i++) {
            int number = i;
            sessions.add(Threads.start("session", () -> session(host, number, written)));
        }
        if (!written.await(5, TimeUnit.SECONDS)) return 2;

        Map<String, Object> session = installation.route("xapu221", "session", 3_000);
        session.put("name", "r-xapu221-new");
        installation.configure(List.of(session, primary, installation.route("fiti832", "primary", 1_000)));
        if (!awaitEffect(host)) return 2;
        Thread.sleep(BACK_MILLIS + 50);

        isInForce.countDown();
        for (Thread each : sessions) each.join(5_000);
        isOver = true;
        lagging.lagMillis = 8;
        if (HAS_TROUBLE) record.line("%s applies commits as before again", lagging.id);
        record.line("%d reads missed the session's own commit, %d showed it, %d other ends", stale, fresh, other);
        if (stale > 0) return 1;
        return fresh > 0 ? 0 : 2;
    }

    /**
     * Writes an item, reads in a transaction (but for the last two sessions, to compare), and reads the item several times
     * once the newest config is in force.
     */
    private void session(Fleet.Host host, int number, CountDownLatch written) throws Exception {
        String id = String.format("%02x5e0e7a21d9", number), item = "1a" + number, value = "new" + number;
        try (Caller caller = new Caller(record, host, "xapu221")) {
            boolean isDone = caller.ask(id + "01", "WRITE " + item + " " + value).isSuccess();
            if (number < SESSIONS - 2) {
                caller.ask(id + "02", "BEGIN READ");
                caller.ask(id + "03", "READ 3c" + number);
                isDone = caller.ask(id + "04", "COMMIT").isSuccess() && isDone;
            }
            written.countDown();
            isInForce.await();
            for (int i = 0; i < READS; i++) {
                Caller.Answer answer = caller.ask(id + "1" + i, "READ " + item);
                synchronized (this) {
                    if (!isDone || !answer.isSuccess()) other++;
                    else if (answer.rows().contains(value)) fresh++;
                    else stale++;
                }
            }
        }
    }

    /** Waits until a backend runs a read on the route that the newest config has added, so that it is in force. */
    private boolean awaitEffect(Fleet.Host host) throws InterruptedException {
        for (int i = 0; i < 40; i++) {
            try (Caller caller = new Caller(record, host, "fiti832")) {
                if (caller.ask(String.format("ee%06x", i), "READ 4d").isSuccess()) {
                    record.line("a backend has seen the effect of the newest config");
                    return true;
                }
            } catch (IOException e) {
                record.line("the new route: %s", e.getMessage());
            }
            Thread.sleep(25);
        }
        return false;
    }

    /** Another caller, who reads now and then. */
    private void others(Fleet.Host host, String database) throws Exception {
        try (Caller caller = new Caller(null, host, database)) {
            for (int i = 0; !isOver; i++) {
                caller.ask(String.format("ff%s%06x", Thread.currentThread().getId(), i), "READ 2b" + i % 7);
                Thread.sleep(80);
            }
        }
    }
}
