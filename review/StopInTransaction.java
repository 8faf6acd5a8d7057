import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;

/** A machine gets SIGTERM while clients are inside transactions, whose statements go on at a normal pace. */
final class StopInTransaction {
    private static final int MACHINE = 1;
    private static final int CLIENTS = 32;
    private static final long STATEMENT_MILLIS = 250;
    private static final int MIN_PAUSE_MILLIS = 200;
    private static final int MAX_PAUSE_MILLIS = 500;
    private static final int MAX_STATEMENTS = 12;
    private static final double GRACE_SECONDS = 6;

    private record Cut(Client.Answer answer, double sentSeconds, double endedSeconds) { }

    private StopInTransaction() { }

    static void run(Path folder) throws Exception {
        Installation site = new Installation(folder, Site.LSSG_DESK, 83);
        site.start();
        for (Backend backend : site.database.backends) backend.setStatementMillis(STATEMENT_MILLIS);
        ConcurrentLinkedQueue<Cut> cuts = new ConcurrentLinkedQueue<>();
        CountDownLatch begun = new CountDownLatch(CLIENTS);
        CountDownLatch ended = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Background.THREADS.execute(() -> {
                transact(site, number, begun, cuts);
                ended.countDown();
            });
        }
        begun.await();
        double stoppedAt = site.record.seconds();
        if (Installation.hasTrouble()) site.fleet.terminate(MACHINE);
        ended.await();
        Background.sleep(1_000);
        List<String> lost = new ArrayList<>();
        for (Cut cut : cuts) {
            double sent = cut.sentSeconds - stoppedAt;
            double end = cut.endedSeconds - stoppedAt;
            boolean isExcused = end > GRACE_SECONDS * 5 / 6 && sent <= 3;
            boolean hasBegun = site.database.begun.contains(cut.answer.id());
            site.record.line("statement %s was sent %.3f s after SIGTERM, and cut %.3f s after SIGTERM, %s",
                cut.answer.id(), sent, end, hasBegun ? "while a backend ran it" : "not begun");
            if (hasBegun && sent > 0 && end <= GRACE_SECONDS + 1 && !isExcused) lost.add(cut.answer.id());
        }
        site.end(!lost.isEmpty(),
            lost.size() + " statements that a backend had begun were cut without an answer " + lost);
    }

    private static void transact(
        Installation site,
        int number,
        CountDownLatch begun,
        ConcurrentLinkedQueue<Cut> cuts
    ) {
        boolean hasBegun = false;
        try (Client client = site.client("c" + number, MACHINE, number % Installation.TENANTS, Installation.BOUNDED)) {
            Background.sleep(number * 20L);
            client.run("BEGIN READ");
            for (int i = 0; i < MAX_STATEMENTS - 1; i++) {
                double sentAt = site.record.seconds();
                Client.Answer answer = client.run("READ 1a" + i);
                if (!hasBegun) begun.countDown();
                hasBegun = true;
                if (answer.code().equals("CLOSED")) cuts.add(new Cut(answer, sentAt, site.record.seconds()));
                if (!answer.isDone()) break;
                Background.sleep(ThreadLocalRandom.current().nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
            }
            if (client.isOpen) client.run("COMMIT");
        } catch (java.io.IOException e) {
            site.record.line("client c%d: %s", number, e);
            if (!hasBegun) begun.countDown();
        }
    }
}
