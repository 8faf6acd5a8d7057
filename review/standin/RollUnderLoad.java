import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** One tenant sends many times its usual, while the machines are stopped and started in turn. */
final class RollUnderLoad {
    private static final int TENANT = 3;
    private static final int OPS_PER_S = 100;
    private static final int BURST = OPS_PER_S;
    private static final int SESSIONS = 60;
    private static final double USUAL_PER_S = OPS_PER_S / 1.6;
    private static final double HOT_FACTOR = 7.5;
    private static final long HOT_MILLIS = 6_500;
    private static final long FIRST_STOP_MILLIS = 500;
    private static final long STOP_GAP_MILLIS = 1_300;
    private static final double WINDOW_SECONDS = 5;
    private static final double TOLERANCE = 0.1;
    private static final double SLACK = 20;

    private RollUnderLoad() { }

    static void run(Path folder) throws Exception {
        Installation site = new Installation(folder, Site.LSSG_DESK, OPS_PER_S);
        site.start();
        for (Backend backend : site.database.backends) backend.setStatementMillis(5);
        AtomicBoolean isHot = new AtomicBoolean();
        AtomicBoolean isOver = new AtomicBoolean();
        for (int i = 0; i < SESSIONS; i++) {
            int session = i;
            Background.THREADS.execute(() -> ask(site, session, isHot, isOver));
        }
        Background.sleep(6_000);
        site.record.line("the tenant becomes hot");
        isHot.set(true);
        Background.after(HOT_MILLIS, () -> {
            site.record.line("the tenant is as usual again");
            isHot.set(false);
        });
        Background.sleep(FIRST_STOP_MILLIS);
        if (Installation.hasTrouble()) stopInTurn(site);
        else Background.sleep(STOP_GAP_MILLIS * site.fleet.machines.size());
        Background.sleep(6_000);
        isOver.set(true);
        Background.sleep(500);
        check(site);
    }

    private static void stopInTurn(Installation site) {
        for (int i = 0; i < site.fleet.machines.size(); i++) {
            int machine = i;
            site.fleet.terminate(machine, () -> {
                try {
                    Background.sleep(300);
                    site.fleet.start(machine);
                } catch (IOException e) {
                    site.record.line("cannot start a machine: %s", e);
                }
            });
            Background.sleep(STOP_GAP_MILLIS);
        }
    }

    /** A session that sends one read after the other, and connects to another machine when it is closed. */
    private static void ask(Installation site, int session, AtomicBoolean isHot, AtomicBoolean isOver) {
        int machine = session % site.fleet.machines.size();
        Background.sleep(session * 16L);
        while (!isOver.get()) {
            try (Client client = site.client("s" + session, machine, TENANT, Installation.BOUNDED)) {
                while (client.isOpen && !isOver.get()) {
                    client.run("READ 1a" + session);
                    double perSecond = isHot.get() ? USUAL_PER_S * HOT_FACTOR : USUAL_PER_S;
                    long pauseMillis = (long) (SESSIONS * 1000 / perSecond);
                    for (long waited = 0; waited < pauseMillis && (waited < 100 || !isHot.get()); waited += 20) Background.sleep(20);
                }
            } catch (IOException e) {
                Background.sleep(50);
            }
            do machine = (machine + 1) % site.fleet.machines.size();
            while (!isOver.get() && !site.fleet.isReady(machine));
        }
    }

    private static void check(Installation site) {
        List<Double> runs = new ArrayList<>(site.database.readSeconds);
        runs.sort(null);
        double allowed = (OPS_PER_S * WINDOW_SECONDS + BURST) * (1 + TOLERANCE) + SLACK;
        int most = 0;
        double mostAt = 0;
        int first = 0;
        for (int last = 0; last < runs.size(); last++) {
            while (runs.get(last) - runs.get(first) > WINDOW_SECONDS) first++;
            if (last - first + 1 > most) {
                most = last - first + 1;
                mostAt = runs.get(first);
            }
        }
        if (runs.isEmpty()) site.cannotRun("nothing was run");
        site.end(most > allowed, String.format("at most %d requests of the tenant were run in %.0f s, from %.3f s on; allowed %.0f",
            most, WINDOW_SECONDS, mostAt, allowed));
    }
}
