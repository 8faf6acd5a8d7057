import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;

/** A small installation: the store, one service of three databases, and six hosts in three zones. */
final class Installation implements AutoCloseable {
    static final String SERVICE = "huvo11a", KEY = "u6wsjnbanfqasnmgkcuy", TENANT = "nypu920";
    private static final long HEARTBEAT_MILLIS = 1_200;
    static final List<String> ZONES = List.of("kranj", "ljubljana", "maribor");

    final Recorder record;
    final Path directory;
    final Store store;
    final Database.Group group = new Database.Group();
    final Fleet fleet;
    private long version;

    Installation(Recorder record, int hostCount) throws IOException {
        this.record = record;
        directory = Files.createTempDirectory("review-case-");
        store = new Store(new InetSocketAddress("127.0.7.1", 0));
        fleet = new Fleet(record, directory, store.address(), hostCount, ZONES);
        for (int i = 0; i < 3; i++) {
            Database database = new Database(record, group, SERVICE, "i-" + (100 + i) + "a3f", ZONES.get(i),
                new InetSocketAddress("127.0.7." + (2 + i), 0));
            if (i == 0) group.primary = database;
        }
        store.promoter = this::promote;
    }

    private int promote(String service, String id, String holder, String fence) {
        record.line("%s asks to promote %s, with fence %s", holder, id, fence);
        for (Database database : group.databases) {
            if (!database.id.equals(id) || database.isDown) continue;
            if (group.primary != database) Threads.start("promote", database::promote);
            return 200;
        }
        return 409;
    }

    Map<String, Object> route(String name, String type, int timeoutMillis) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-" + name);
        route.put("host", name);
        route.put("prefix", "/");
        route.put("type", type);
        route.put("timeoutMs", timeoutMillis);
        route.put("goalMs", 800);
        route.put("prio", 1);
        route.put("service", SERVICE);
        route.put("attempts", 2);
        if (!type.equals("primary")) route.put("maxStaleMs", 1500);
        route.put("public", false);
        return route;
    }

    /** Writes a config with [routes] and one tenant. */
    void configure(List<Object> routes) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", SERVICE);
        service.put("healthPath", "/healthz");
        service.put("maxConns", 34);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("syncReplicas", 0);
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("maxHeaderBytes", 16384);
        limits.put("maxBodyBytes", 262144);
        limits.put("headerMs", 3000);
        limits.put("idleMs", 15000);
        limits.put("txIdleMs", 3000);
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", TENANT);
        tenant.put("apiKeys", List.of(KEY));
        tenant.put("prio", 1);
        tenant.put("opsPerS", 400);
        tenant.put("burst", 400);
        Map<String, Object> config = new LinkedHashMap<>();
        version += 3;
        config.put("version", version);
        config.put("routes", routes);
        config.put("services", List.of(service));
        config.put("limits", limits);
        config.put("tenants", List.of(tenant));
        store.put("op", "config", config);
        record.line("the operator's config of version %d is in the store", version);
    }

    /** Starts the backends' reports and the hosts. Returns false if they aren't ready in time. */
    boolean start() throws IOException, InterruptedException {
        Threads.start("reports", this::report);
        fleet.startAll();
        boolean isReady = fleet.awaitReady(40);
        record.line(isReady ? "all hosts are ready" : "the hosts aren't ready in time");
        return isReady;
    }

    /** Writes the backends' entries: each 1,200 ms, at once when a role changes, and none for one that is down. */
    private void report() throws InterruptedException {
        Map<Database, String> written = new HashMap<>();
        Map<Database, Long> writtenMillis = new HashMap<>();
        for (long seq = 1; ; Thread.sleep(20)) {
            for (Database database : group.databases) {
                long sinceMillis = record.millis() - writtenMillis.getOrDefault(database, -HEARTBEAT_MILLIS);
                if (database.isDown) {
                    if (sinceMillis > 3 * HEARTBEAT_MILLIS && written.remove(database) != null) {
                        store.drop("servers", database.id);
                    }
                } else if (sinceMillis >= HEARTBEAT_MILLIS || !database.role().equals(written.get(database))) {
                    store.put("servers", database.id, database.entry(seq++));
                    written.put(database, database.role());
                    writtenMillis.put(database, record.millis());
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        fleet.close();
        store.close();
        if (System.getenv("KEEP_LOGS") != null) return;
        try (var files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
