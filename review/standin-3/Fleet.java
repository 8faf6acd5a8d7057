import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** The hosts of the deploy file as processes, each with a loopback address of its own. */
final class Fleet implements AutoCloseable {
    static final class Host {
        String name, ip, zone;
        int front, ready, control, firstPort;
        Process process;

        InetSocketAddress front() {
            return new InetSocketAddress(ip, front);
        }
    }

    final List<Host> hosts = new ArrayList<>();
    final Path directory;
    private final Recorder record;
    private final List<String> command;
    private final String platform;

    /** Makes the plan of [count] hosts in [zones]; none is started yet. */
    Fleet(Recorder record, Path directory, String platform, int count, List<String> zones) throws IOException {
        this.record = record;
        this.directory = directory;
        this.platform = platform;
        command = command();
        for (int i = 0; i < count; i++) {
            Host host = new Host();
            host.name = "front-" + i;
            host.zone = zones.get(i % zones.size());
            host.ip = "127.0.7." + (i + 10);
            hosts.add(host);
        }
        int[] ports = freePorts(hosts);
        for (Host host : hosts) {
            host.front = ports[0];
            host.ready = ports[1];
            host.control = ports[2];
            host.firstPort = ports[3];
        }
    }

    /** The words of the line `run` of the deploy file. */
    private static List<String> command() throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.trim().equals("[roles.lane]");
            if (isRole && line.startsWith("run")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no line run in the deploy file");
    }

    /** Ports that are free at the addresses of all hosts: front, ready, control and the first of sixteen. */
    private static int[] freePorts(List<Host> hosts) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 200; attempt++) {
            int base = 20_000 + random.nextInt(10_000);
            if (areFree(hosts, base)) return new int[] {base, base + 1, base + 2, base + 3};
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(List<Host> hosts, int base) {
        for (Host host : hosts) {
            for (int port = base; port < base + 19; port++) {
                try (ServerSocket tcp = new ServerSocket(); DatagramSocket udp = new DatagramSocket(null)) {
                    tcp.bind(new InetSocketAddress(host.ip, port));
                    udp.bind(new InetSocketAddress(host.ip, port));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    void start(Host host) throws IOException {
        Path settings = directory.resolve(host.name + ".conf");
        Files.writeString(settings, settings(host));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(host.name + ".log").toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CARDAMOMLANE_CONFIG", settings.toString());
        host.process = builder.start();
        record.line("host %s starts, its callers' address is %s:%d", host.name, host.ip, host.front);
    }

    void startAll() throws IOException {
        for (Host host : hosts) start(host);
    }

    private String settings(Host host) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("node", host.name);
        fields.put("role", "lane");
        fields.put("machineClass", "front");
        fields.put("serves", "front");
        fields.put("ip", host.ip);
        fields.put("zone", host.zone);
        fields.put("region", "slo");
        for (Host each : hosts) fields.put("zones." + each.zone, "slo");
        fields.put("listen.front", host.ip + ":" + host.front);
        fields.put("listen.ready", host.ip + ":" + host.ready);
        fields.put("listen.control", host.ip + ":" + host.control);
        fields.put("portRange", host.firstPort + "," + (host.firstPort + 15));
        fields.put("seeds", "");
        fields.put("bootstrap", "true");
        fields.put("inTolerance", "false");
        String fixed = """
            limits.cpuShare=0.75
            limits.cores=1
            limits.memoryMb=430
            limits.maxFds=4200
            limits.linkMbps=1000.0
            limits.diskMb=0
            discovery=platform
            entry=vip
            heartbeatMs=1200
            contracts=base,drain,config,cost,recover,sql,tenants,quota,platform
            tolerate.machines=2
            tolerate.zones=0
            tolerate.regions=0
            bounds.seedLagS=3
            bounds.reuseS=2
            bounds.stableMs=4000
            bounds.ackMs=5000
            bounds.catchupS=4
            bounds.drainMs=7000
            bounds.graceS=6
            bounds.lostMs=200
            bounds.applyMs=3000
            bounds.backMs=250
            bounds.skewMs=12000
            bounds.revokeStrict=false
            bounds.revokeMs=5000
            bounds.quotaWindowS=5
            bounds.quotaTolerance=0.1
            bounds.quotaSlack=20
            bounds.recoveryS=12
            bounds.enforceFence=false
            bounds.thawMs=300
            platform.form=table
            platform.writesPerS=400
            platform.readsPerS=2000
            platform.txMs=5.0
            platform.partWritesS=200
            platform.rowBytes=65536
            platform.across=false
            platform.historyS=20
            platform.blobBytes=8388608
            platform.blobMs=25.0
            platform.blobMbS=80.0
            cloud.opsPerS=50.0
            cloud.duties=promote
            cloud.dutyPerS=50.0
            """;
        StringBuilder text = new StringBuilder();
        fields.forEach((name, value) -> text.append(name).append('=').append(value).append('\n'));
        text.append(fixed);
        text.append("platform.addr=").append(platform).append('\n');
        text.append("cloud.addr=").append(platform).append('\n');
        return text.toString();
    }

    static boolean isReady(Host host) {
        try {
            var probe = (HttpURLConnection) new URL("http://" + host.ip + ":" + host.ready + "/-/ready").openConnection();
            probe.setConnectTimeout(500);
            probe.setReadTimeout(500);
            return probe.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until all hosts are ready. Returns false after [seconds]. */
    boolean awaitReady(int seconds) throws InterruptedException {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (!hosts.stream().allMatch(Fleet::isReady)) {
            if (System.nanoTime() > until) return false;
            Thread.sleep(200);
        }
        return true;
    }

    /** Sends a signal such as TERM, HUP, STOP or CONT to the process of [host]. */
    void signal(Host host, String name) throws IOException, InterruptedException {
        record.line("host %s gets SIG%s", host.name, name);
        new ProcessBuilder("kill", "-" + name, "" + host.process.pid()).start().waitFor();
    }

    @Override
    public void close() {
        for (Host host : hosts) {
            if (host.process == null) continue;
            host.process.destroyForcibly();
            try {
                host.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
