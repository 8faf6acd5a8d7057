import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A primary is to be replaced, and the process that carries out the hand-over is killed just after its promote was
 * accepted. Clients are inside transactions meanwhile. Several such releases follow one another.
 */
final class ReleaseAndKill {
    private static final int ROUNDS = 8;
    private static final double LAST_ROUND_SECONDS = 90;
    private static final long SERVES_ON_MILLIS = 7_500;
    private static final int CLIENTS = 32;
    private static final long FIRST_COMMIT_MILLIS = 1_200;
    private static final long COMMIT_STEP_MILLIS = 12;

    private ReleaseAndKill() { }

    static void run(Path folder) throws Exception {
        Installation site = new Installation(folder, Site.ZOK_TISK, 83);
        site.start();
        Set<String> acknowledged = ConcurrentHashMap.newKeySet();
        for (int round = 0; round < ROUNDS && site.record.seconds() < LAST_ROUND_SECONDS; round++) {
            release(site, round, acknowledged);
            List<String> late = site.database.lateCommits.stream().filter(acknowledged::contains).toList();
            if (!late.isEmpty()) break;
        }
        List<String> late = site.database.lateCommits.stream().filter(acknowledged::contains).toList();
        if (!Installation.hasTrouble() && acknowledged.isEmpty()) site.cannotRun("no commit was acknowledged");
        site.end(!late.isEmpty(), late.size() + " commits at an old primary after a promote had taken effect were "
            + "acknowledged " + late + "; " + acknowledged.size() + " commits acknowledged in all");
    }

    private static void release(Installation site, int round, Set<String> acknowledged) throws Exception {
        site.record.line("round %d", round);
        AtomicBoolean isKilled = new AtomicBoolean();
        if (Installation.hasTrouble()) {
            site.cloud.onCall = call -> {
                if (!isKilled.compareAndSet(false, true)) return;
                int machine = site.fleet.indexOf(call.holder().substring(0, call.holder().indexOf('#')));
                site.fleet.kill(machine);
                Background.after(2_500, () -> restart(site, machine));
            };
        }
        List<Client> clients = begin(site, round);
        if (clients.isEmpty()) site.cannotRun("no transaction could begin");
        Backend primary = site.database.primary();
        if (Installation.hasTrouble()) primary.drain();
        for (int i = 0; i < clients.size(); i++) {
            Client client = clients.get(i);
            Background.after(FIRST_COMMIT_MILLIS + i * COMMIT_STEP_MILLIS, () -> {
                Client.Answer answer = client.run("COMMIT");
                if (answer.isDone()) acknowledged.add(answer.id());
            });
        }
        Background.sleep(SERVES_ON_MILLIS);
        if (Installation.hasTrouble()) {
            primary.crash();
            Background.sleep(300);
            primary.start();
        }
        for (Client client : clients) client.close();
        if (!site.fleet.awaitReady(20_000)) site.cannotRun("the machines are not ready after a round");
        Background.sleep(2_000);
    }

    /** Opens sessions over all machines but the last and writes in a transaction of each, all at the same time. */
    private static List<Client> begin(Installation site, int round) throws InterruptedException {
        List<Client> begun = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch tried = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Background.THREADS.execute(() -> {
                try {
                    int machine = number % (site.fleet.machines.size() - 1);
                    Client client = site.client("r" + round + "c" + number, machine, number % Installation.TENANTS);
                    boolean isBegun = client.run("BEGIN").isDone();
                    if (isBegun && client.run("WRITE " + number + "a r" + round).isDone()) begun.add(client);
                } catch (IOException e) {
                    site.record.line("no session: %s", e);
                }
                tried.countDown();
            });
        }
        tried.await();
        return begun;
    }

    private static void restart(Installation site, int machine) {
        try {
            site.fleet.start(machine);
        } catch (IOException e) {
            site.record.line("cannot start a machine: %s", e);
        }
    }
}
