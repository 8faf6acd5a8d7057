import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A key is taken away from a client that is connected and has a transaction open. */
final class KeyInTransaction {
    private static final long APPLY_MILLIS = 3_000;
    private static final long PAUSE_MILLIS = 2_000;
    private static final int TENANT = 3;

    private KeyInTransaction() { }

    static void run(Path folder) throws Exception {
        Installation site = new Installation(folder, Site.LSSG_DESK, 83);
        site.start();
        Client client = site.client("c", 0, TENANT);
        Client other = site.client("probe", 0, TENANT);
        boolean isOpen = client.run("BEGIN").isDone() && client.run("WRITE 1a4 before").isDone();
        if (!isOpen) site.cannotRun("the transaction could not begin");
        double droppedAt = site.record.seconds();
        if (Installation.hasTrouble()) {
            List<List<String>> keys = new ArrayList<>(Installation.keys());
            keys.set(TENANT, List.of(Installation.key(TENANT) + "b"));
            site.writeConfig(keys);
            droppedAt = site.record.seconds();
        }
        List<Client.Answer> late = new ArrayList<>();
        while (site.record.seconds() - droppedAt < 8.0) {
            Background.sleep(PAUSE_MILLIS);
            boolean isLate = site.record.seconds() - droppedAt > APPLY_MILLIS / 1000.0;
            Client.Answer answer = client.run("WRITE 1a4 after");
            if (isLate) late.add(answer);
            other.run("READ 1a4");
        }
        late.add(client.run("COMMIT"));
        long run = late.stream().filter(Client.Answer::isDone).count();
        boolean isBroken = Installation.hasTrouble() && run > 0;
        if (!Installation.hasTrouble() && run < late.size()) site.cannotRun("the transaction did not go on");
        site.end(isBroken, run + " of " + late.size() + " statements that the client sent later than " + APPLY_MILLIS
            + " ms after " + (Installation.hasTrouble() ? "the config without its key was acknowledged" : "it began")
            + " were run by a backend, the commit " + (late.get(late.size() - 1).isDone() ? "included" : "excluded"));
    }
}
