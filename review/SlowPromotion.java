import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Primaries crash in turn while the platform is slow: it performs and answers each promote only seconds after it
 * arrived.
 */
final class SlowPromotion {
    private static final int ROUNDS = 5;
    private static final long CRASH_MILLIS = 7_000;
    private static final long SLOW_MILLIS = 9_000;
    private static final long DELAY_MILLIS = 3_000;
    private static final long WRITE_INTERVAL_MILLIS = 60;

    private SlowPromotion() { }

    static void run(Path folder) throws Exception {
        Installation site = new Installation(folder, Site.ZOK_TISK, 83);
        site.start();
        AtomicBoolean isOver = new AtomicBoolean();
        Set<String> acknowledged = ConcurrentHashMap.newKeySet();
        for (int machine = 0; machine < site.fleet.machines.size(); machine++) {
            int at = machine;
            Background.THREADS.execute(() -> writeUntil(site, at, isOver, acknowledged));
        }
        Background.sleep(3_000);
        for (int round = 0; round < ROUNDS; round++) {
            site.record.line("round %d", round);
            if (Installation.hasTrouble()) crash(site);
            Background.sleep(14_000);
            if (!late(site, acknowledged).isEmpty()) break;
        }
        isOver.set(true);
        Background.sleep(1_500);
        List<String> late = late(site, acknowledged);
        if (acknowledged.isEmpty()) site.cannotRun("no write was acknowledged");
        for (String id : late) site.record.line("acknowledged and committed at an old primary: %s", id);
        site.end(!late.isEmpty(), late.size() + " writes at an old primary after a promote had taken effect were "
            + "acknowledged, of " + acknowledged.size() + " in all");
    }

    private static List<String> late(Installation site, Set<String> acknowledged) {
        synchronized (site.database) {
            return site.database.lateCommits.stream().filter(acknowledged::contains).toList();
        }
    }

    private static void crash(Installation site) {
        Backend primary = site.database.primary();
        site.cloud.beSlow(SLOW_MILLIS, DELAY_MILLIS);
        primary.crash();
        Background.after(CRASH_MILLIS, () -> {
            try {
                primary.start();
                site.record.line("backend %s is back", primary.id);
            } catch (IOException e) {
                site.record.line("backend %s: %s", primary.id, e);
            }
        });
    }

    private static void writeUntil(Installation site, int machine, AtomicBoolean isOver, Set<String> acknowledged) {
        int count = 0;
        while (!isOver.get()) {
            try (Client client = site.client("w" + machine, machine, machine)) {
                while (!isOver.get() && client.isOpen) {
                    Client.Answer answer = client.run("WRITE " + machine + "a v" + count++);
                    if (answer.isDone()) acknowledged.add(answer.id());
                    Background.sleep(WRITE_INTERVAL_MILLIS);
                }
            } catch (IOException e) {
                site.record.line("client w%d: %s", machine, e);
            }
            Background.sleep(200);
        }
    }
}
