import java.util.List;

/**
 * What the scripts take from a site's sheet.
 *
 * @param machineZones the zone of each machine
 * @param promoteMillis how long a promote takes
 * @param lagMillis how far replicas are behind
 * @param maxConnections how many connections a backend takes
 */
record Site(String region, List<String> zones, List<String> machineZones, List<String> backendZones, long promoteMillis,
    long lagMillis, int maxConnections, int maxFds) {
    static final Site LSSG_DESK = new Site("tx-central", List.of("austin-a", "austin-b", "waco-c"),
        List.of("austin-a", "austin-a", "austin-a", "austin-b", "austin-b", "waco-c"),
        List.of("austin-a", "austin-b", "waco-c"), 1_000, 60, 50, 4300);
    static final Site ZOK_TISK = new Site("slo", List.of("kranj", "ljubljana", "maribor", "koper"),
        List.of("kranj", "kranj", "ljubljana", "ljubljana", "ljubljana", "maribor", "maribor", "koper"),
        List.of("kranj", "ljubljana", "maribor"), 300, 8, 34, 4200);
}
