import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * All processes are killed and start again. Then the replicas lose some of their answers for a while, as `answer_lost`
 * allows, and the primary crashes for seven seconds, as `srv_crash` allows. From recoveryS after all that, requests must
 * be served again.
 *
 * Exits with 1 if less than a quarter of them is served, 0 if more are, and 2 if the case couldn't run.
 */
final class LostAnswersCase {
    private static final boolean HAS_TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final double SHARE_LOST = 0.2;
    private static final int EPISODES = 2, EPISODE_MILLIS = 4_000, CRASH_MILLIS = 7_000;
    private static final int READ_MILLIS = 33, WRITE_MILLIS = 11;
    private static final int RECOVERY_MILLIS = 12_000, JUDGED_MILLIS = 20_000, CALLERS = 12;

    private final Recorder record;
    private final Installation installation;
    private volatile Counts counts = new Counts();
    private volatile boolean isReading = true, isOver;

    /** How many requests were sent in a span of time, and how many of them were answered with success. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger(), served = new AtomicInteger();
        final Map<String, AtomicInteger> failures = new ConcurrentSkipListMap<>();

        double share() {
            return sent.get() == 0 ? 0 : (double) served.get() / sent.get();
        }

        @Override
        public String toString() {
            return served + " of " + sent + " requests served, others: " + failures;
        }
    }

    private LostAnswersCase(Recorder record, Installation installation) {
        this.record = record;
        this.installation = installation;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Recorder record = new Recorder(Path.of(arguments[0]))) {
            try (Installation installation = new Installation(record, 6)) {
                Runtime.getRuntime().addShutdownHook(new Thread(installation.fleet::close));
                code = new LostAnswersCase(record, installation).run();
            } catch (IOException | RuntimeException e) {
                record.line("the case couldn't run: %s", e);
            }
            record.line("exit code %d", code);
        }
        System.exit(code);
    }

    private int run() throws Exception {
        record.line("trouble: %s", HAS_TROUBLE);
        installation.configure(List.of(
            installation.route("xapu221", "bounded", 3_000), installation.route("lepu270", "primary", 1_000)));
        for (Database database : installation.group.databases) {
            database.readMillis = READ_MILLIS;
            database.writeMillis = WRITE_MILLIS;
        }
        if (!installation.start()) return 2;
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Threads.start("caller", () -> call(number));
        }
        Thread.sleep(1_000);
        counts = new Counts();
        Thread.sleep(3_000);
        Counts before = counts;
        record.line("before the final fault: %s", before);

        record.line("all processes are killed");
        for (Fleet.Host host : installation.fleet.hosts) host.process.destroyForcibly();
        for (Fleet.Host host : installation.fleet.hosts) host.process.waitFor();
        Thread.sleep(1_000);
        installation.fleet.startAll();
        if (!installation.fleet.awaitReady(20)) return 2;
        record.line("all hosts are ready again");
        Thread.sleep(1_000);

        Database old = installation.group.primary;
        List<Database> replicas = installation.group.databases.stream().filter(database -> database != old).toList();
        for (int i = 0; i < EPISODES; i++) {
            counts = new Counts();
            if (HAS_TROUBLE) {
                record.line("the replicas lose %.2f of their answers from now on", SHARE_LOST);
                for (Database database : replicas) database.lostAnswers = SHARE_LOST;
            }
            Thread.sleep(EPISODE_MILLIS);
            for (Database database : replicas) database.lostAnswers = 0;
            record.line("no answers are lost any more; meanwhile: %s", counts);
            Thread.sleep(200);
        }
        isReading = false;

        counts = new Counts();
        old.crash();
        Thread.sleep(CRASH_MILLIS);
        old.restart();
        record.line("while the primary was down: %s", counts);

        counts = new Counts();
        Thread.sleep(RECOVERY_MILLIS);
        record.line("in the next %d ms: %s", RECOVERY_MILLIS, counts);
        counts = new Counts();
        Thread.sleep(JUDGED_MILLIS);
        Counts after = counts;
        isOver = true;
        record.line("in the %d ms after that: %s", JUDGED_MILLIS, after);
        record.line("at a new session with the primary itself: %s", askDirectly(installation.group.primary));
        if (before.share() < 0.25 || after.sent.get() == 0) return 2;
        return after.share() < 0.25 ? 1 : 0;
    }

    /** Shows that the primary serves: opens a session with it and runs a write. */
    private static String askDirectly(Database primary) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(primary.address, 1_000);
            socket.setSoTimeout(2_000);
            Lines in = new Lines(socket.getInputStream(), 8_192);
            socket.getOutputStream().write(Lines.bytes("START " + Installation.SERVICE + " " + Installation.TENANT));
            in.next();
            socket.getOutputStream().write(Lines.bytes("QUERY 0d1ec7 WRITE 9f direct"));
            return in.next();
        }
    }

    /**
     * Sends one request after the other, over a new connection whenever one has ended. The callers of the `bounded` route
     * rest once [isReading] is false.
     */
    private void call(int number) throws InterruptedException {
        boolean isPrimary = number % 3 == 0;
        List<Fleet.Host> hosts = installation.fleet.hosts;
        for (int request = 0; !isOver; ) {
            try (Caller caller = new Caller(null, hosts.get(number % hosts.size()), isPrimary ? "lepu270" : "xapu221")) {
                for (boolean isGoing = true; isGoing && !isOver; request++) {
                    while (!isPrimary && !isReading && !isOver) Thread.sleep(100);
                    boolean isWrite = isPrimary && request % 2 == 0;
                    String text = isWrite ? "WRITE 1a" + number + " next" : "READ 1a" + number;
                    isGoing = ask(caller, number, request, text).ready() != null;
                    Thread.sleep(60);
                }
            } catch (IOException e) {
                Thread.sleep(200);
            }
        }
    }

    private Caller.Answer ask(Caller caller, int number, int request, String text) {
        Counts now = counts;
        now.sent.incrementAndGet();
        Caller.Answer answer = caller.ask(String.format("%02x%06x7a21d9", number, request), text);
        if (answer.isSuccess()) now.served.incrementAndGet();
        else now.failures.computeIfAbsent(String.valueOf(answer.outcome()), r -> new AtomicInteger()).incrementAndGet();
        return answer;
    }
}
