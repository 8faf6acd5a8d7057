import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small installation like one of the users' sites: machines, one service of three backends, eight tenants. */
final class Installation {
    /** The databases of a route of type `primary`, and of one of type `bounded`. */
    static final String PRIMARY = "lepu270";
    static final String BOUNDED = "xapu221ny95";
    static final int TENANTS = 8;
    private static final String SERVICE = "huvo11a";
    private static final String PLATFORM_IP = "127.0.0.40";

    final Recorder record;
    final Store store;
    final Database database;
    final Cloud cloud;
    final Fleet fleet;
    private long configVersion = 6;
    private final int opsPerS;
    private final int maxConnections;

    /**
     * @param opsPerS rate and burst of each tenant
     */
    Installation(Path folder, Site site, int opsPerS) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "300");
        this.opsPerS = opsPerS;
        maxConnections = site.maxConnections();
        record = new Recorder(folder.resolve("record.txt"));
        int storePort = Fleet.freePort(PLATFORM_IP);
        store = new Store(PLATFORM_IP, storePort, Background.THREADS);
        database = new Database(SERVICE, site, record);
        int cloudPort = Fleet.freePort(PLATFORM_IP);
        cloud = new Cloud(PLATFORM_IP, cloudPort, List.of(database), record, Background.THREADS);
        for (int i = 0; i < site.backendZones().size(); i++) {
            String address = "127.0.0." + (50 + i);
            String zone = site.backendZones().get(i);
            new Backend("i-7f3a91c" + i, database, address, Fleet.freePort(address), zone, store, i == 0).start();
        }
        writeConfig(keys());
        List<Fleet.Machine> machines = new ArrayList<>();
        for (int i = 0; i < site.machineZones().size(); i++) {
            String zone = site.machineZones().get(i);
            int number = 1 + java.util.Collections.frequency(site.machineZones().subList(0, i), zone);
            String name = "front-" + zone + "-" + number;
            machines.add(new Fleet.Machine(name, zone, "127.0.0." + (2 + i), PLATFORM_IP + ":" + cloudPort));
        }
        fleet = new Fleet(site, machines, PLATFORM_IP + ":" + storePort, record);
    }

    /** The keys of all tenants, by tenant. */
    static List<List<String>> keys() {
        List<List<String>> keys = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) keys.add(List.of(key(i), key(i) + "b"));
        return keys;
    }

    static String key(int tenant) {
        return "u6wsjnbanfqasnmgkc" + tenant;
    }

    /** Writes the next version of the config with these keys. Returns once it is acknowledged. */
    void writeConfig(List<List<String>> keysByTenant) {
        configVersion += 3;
        List<Object> tenants = new ArrayList<>();
        for (int i = 0; i < keysByTenant.size(); i++) {
            tenants.add(Json.of("name", "nypu92" + i, "apiKeys", keysByTenant.get(i), "prio", 1, "opsPerS", opsPerS,
                "burst", opsPerS));
        }
        Map<String, Object> primary = Json.of("name", "r-e9itfrz", "host", PRIMARY, "prefix", "/", "type", "primary",
            "timeoutMs", 1000, "goalMs", 200, "prio", 1, "service", SERVICE, "attempts", 2, "public", false);
        Map<String, Object> bounded = Json.of("name", "r-8p4gv8e", "host", BOUNDED, "prefix", "/", "type", "bounded",
            "timeoutMs", 3000, "goalMs", 800, "prio", 2, "service", SERVICE, "attempts", 2, "maxStaleMs", 1500,
            "public", false);
        Map<String, Object> service = Json.of("name", SERVICE, "healthPath", "/healthz", "maxConns", maxConnections,
            "protocol", "h1", "tls", false, "syncReplicas", 0);
        Map<String, Object> limits = Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerMs", 3000,
            "idleMs", 15000, "txIdleMs", 3000);
        store.write("op", "config", Json.of("version", configVersion, "routes", List.of(primary, bounded), "services",
            List.of(service), "limits", limits, "tenants", tenants));
        record.line("config version %d is acknowledged", configVersion);
    }

    /** Starts all machines and waits until they are ready; ends this run as one that could not run otherwise. */
    void start() throws IOException {
        fleet.startAll();
        if (!fleet.awaitReady(40_000)) cannotRun("the machines are not ready");
        Background.sleep(2_000);
    }

    Client client(String name, int machine, int tenant) throws IOException {
        return client(name, machine, tenant, PRIMARY);
    }

    Client client(String name, int machine, int tenant, String database) throws IOException {
        return new Client(name, fleet.machines.get(machine).ip(), fleet.frontPort, database, key(tenant), record);
    }

    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    void cannotRun(String reason) {
        record.line("this case could not run: %s", reason);
        System.out.println("could not run: " + reason);
        System.exit(2);
    }

    void end(boolean isBroken, String result) {
        record.line("%s: %s", isBroken ? "BROKEN" : "HELD", result);
        System.out.println((isBroken ? "BROKEN: " : "HELD: ") + result);
        System.exit(isBroken ? 1 : 0);
    }
}
