import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The project's own processes, started with the command of the deploy file, each on a loopback address of its own.
 */
final class Fleet {
    /** Machines of one zone are counted up from 1, as on the users' site. */
    record Machine(String name, String zone, String ip, String cloudAddress) { }

    final List<Machine> machines = new ArrayList<>();
    final int frontPort;
    final int readyPort;
    private final int controlPort;
    private final int peerPort;
    private final Site site;
    private final String storeAddress;
    private final Path folder;
    private final List<String> command;
    private final Process[] processes;
    private final Recorder record;

    Fleet(Site site, List<Machine> machines, String storeAddress, Recorder record) throws IOException {
        this.machines.addAll(machines);
        this.site = site;
        this.storeAddress = storeAddress;
        this.record = record;
        frontPort = freePort(machines);
        readyPort = freePort(machines);
        controlPort = freePort(machines);
        peerPort = freePort(machines);
        folder = Files.createTempDirectory("review");
        command = command();
        processes = new Process[machines.size()];
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    /** A port below the ephemeral ones that is free on the address of each machine. */
    private static int freePort(List<Machine> machines) throws IOException {
        java.util.Random random = new java.util.Random();
        while (true) {
            int port = 15_000 + random.nextInt(15_000);
            if (isFree("127.0.0.1", port) && machines.stream().allMatch(it -> isFree(it.ip, port))) return port;
        }
    }

    static boolean isFree(String address, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run")) {
                String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(text.split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no line run");
    }

    void startAll() throws IOException {
        for (int i = 0; i < machines.size(); i++) start(i);
    }

    void start(int index) throws IOException {
        Machine machine = machines.get(index);
        Path settings = folder.resolve(machine.name + ".conf");
        Files.writeString(settings, settings(machine));
        ProcessBuilder builder = new ProcessBuilder(command);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("CARDAMOMLANE_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(machine.name + ".log").toFile()));
        processes[index] = builder.start();
        record.line("machine %s is started", machine.name);
    }

    private String settings(Machine machine) {
        String ip = machine.ip;
        List<String> seeds = new ArrayList<>();
        for (Machine seed : machines.subList(0, Math.min(3, machines.size()))) seeds.add(seed.ip + ":" + controlPort);
        StringBuilder zones = new StringBuilder();
        for (String zone : site.zones()) zones.append("zones." + zone + "=" + site.region() + "\n");
        return zones + String.join("\n",
            "node=" + machine.name, "role=lane", "machineClass=front", "serves=front", "ip=" + ip,
            "zone=" + machine.zone,
            "region=" + site.region(),
            "listen.front=" + ip + ":" + frontPort, "listen.ready=" + ip + ":" + readyPort,
            "listen.control=" + ip + ":" + controlPort, "portRange=" + peerPort + "," + (peerPort + 15),
            "seeds=" + String.join(",", seeds), "bootstrap=true", "inTolerance=false", "limits.cpuShare=0.75",
            "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=" + site.maxFds(), "limits.linkMbps=1000.0",
            "limits.diskMb=0",
            "discovery=platform", "entry=vip", "heartbeatMs=1200",
            "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform", "tolerate.machines=2",
            "tolerate.zones=0", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.reuseS=2", "bounds.stableMs=4000",
            "bounds.ackMs=5000", "bounds.catchupS=4", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.lostMs=200",
            "bounds.applyMs=3000", "bounds.backMs=250", "bounds.skewMs=12000", "bounds.revokeStrict=false",
            "bounds.revokeMs=5000", "bounds.quotaWindowS=5", "bounds.quotaTolerance=0.1", "bounds.quotaSlack=20",
            "bounds.recoveryS=12", "bounds.enforceFence=false", "bounds.thawMs=300", "platform.addr=" + storeAddress,
            "platform.form=table", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.txMs=5.0",
            "platform.partWritesS=200", "platform.rowBytes=65536", "platform.across=false", "platform.historyS=20",
            "platform.blobBytes=8388608", "platform.blobMs=25.0", "platform.blobMbS=80.0",
            "cloud.addr=" + machine.cloudAddress, "cloud.opsPerS=50.0", "cloud.duties=promote", "cloud.dutyPerS=50.0",
            "");
    }

    /** Sends SIGTERM, and SIGKILL if the process still runs after the grace time of 6 s. */
    void terminate(int index) {
        terminate(index, () -> { });
    }

    /** The same; runs [then] once the process has ended. */
    void terminate(int index, Runnable then) {
        record.line("SIGTERM to machine %s", machines.get(index).name);
        Process process = processes[index];
        process.destroy();
        Background.after(6_000, () -> {
            if (process.isAlive()) process.destroyForcibly();
        });
        process.onExit().thenAccept(it -> {
            record.line("machine %s has ended with %d", machines.get(index).name, it.exitValue());
            Background.THREADS.execute(then);
        });
    }

    void kill(int index) {
        record.line("SIGKILL to machine %s", machines.get(index).name);
        processes[index].destroyForcibly();
    }

    boolean isAlive(int index) {
        return processes[index].isAlive();
    }

    boolean isReady(int index) {
        Machine machine = machines.get(index);
        try {
            HttpURLConnection call = (HttpURLConnection)
                URI.create("http://" + machine.ip + ":" + readyPort + "/-/ready").toURL().openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            int status = call.getResponseCode();
            call.disconnect();
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    int indexOf(String name) {
        for (int i = 0; i < machines.size(); i++) if (machines.get(i).name.equals(name)) return i;
        throw new IllegalArgumentException(name);
    }

    /** Waits until every process is ready. Returns false when that takes longer than [millis]. */
    boolean awaitReady(long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            boolean isReady = true;
            for (int i = 0; i < machines.size(); i++) isReady &= isReady(i);
            if (isReady) {
                record.line("all machines are ready");
                return true;
            }
            Background.sleep(200);
        }
        return false;
    }

    void endAll() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        for (Process process : processes) {
            try {
                if (process != null) process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("cannot remove " + folder);
        }
    }
}
