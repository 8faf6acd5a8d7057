import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A small installation on loopback: the store, the promote call, one service and the machines. */
final class Rig implements AutoCloseable {
  static final List<String> ZONES = List.of("kranj", "ljubljana", "maribor");
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  final Record record;
  final Store store = new Store();
  final Group group;
  final List<Host> hosts = new ArrayList<>();
  private final String network = "127." + ThreadLocalRandom.current().nextInt(20, 240) + "."
      + ThreadLocalRandom.current().nextInt(1, 250) + ".";
  private final Path directory = Files.createTempDirectory("cardamomlane-review");
  private int lastIp = 1;

  Rig(Path folder) throws IOException {
    record = new Record(folder.resolve("record.txt"));
    group = new Group("kartoteka", store, record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private String nextIp() {
    return network + ++lastIp;
  }

  /** Starts three backends, of which the first is primary, and {@code count} machines. Returns false if they don't get ready. */
  boolean start(int count, String config) throws IOException {
    store.put("op", "config", config);
    for (int i = 0; i < 3; i++) group.add("i-" + (char) ('a' + i), nextIp(), ZONES.get(i));
    for (Backend backend : group.backends) backend.start(backend == group.backends.get(0));
    Cloud cloud = new Cloud(nextIp(), group, record);
    List<String> ips = new ArrayList<>();
    for (int i = 0; i < count; i++) ips.add(nextIp());
    Host.Ports ports = new Host.Ports(freePort(ips), freePort(ips), freePort(ips), freePort(ips));
    for (int i = 0; i < count; i++) {
      String zone = ZONES.get(i % ZONES.size());
      String name = "front-" + zone + "-" + (i / ZONES.size() + 1);
      hosts.add(new Host(name, ips.get(i), zone, ports, store.open(nextIp()), cloud.address, directory, record));
    }
    for (Host host : hosts) host.start(ZONES);
    long endMillis = record.millis() + 30_000;
    while (!hosts.stream().allMatch(Host::isReady)) {
      if (record.millis() > endMillis) return false;
      Threads.sleep(100);
    }
    Threads.sleep(1_500);
    record.line("all machines are ready");
    return true;
  }

  private static int freePort(List<String> ips) throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
      boolean isFree = true;
      for (String ip : ips) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
          isFree &= socket.isBound();
        } catch (IOException e) {
          isFree = false;
        }
      }
      if (isFree) return port;
    }
  }

  /** The exit code of a broken rule, which the scripts turn into 1. An exception that ends the program gives 1. */
  private static final int BROKEN = 10;

  /** Ends the program, after all processes: {@code status} is 1 if the rule was broken, 0 if it held, else 2. */
  void exit(int status, String verdict) {
    record.line("verdict: " + verdict);
    System.out.println(verdict);
    close();
    System.exit(status == 1 ? BROKEN : status);
  }

  @Override
  public void close() {
    for (Host host : hosts) host.kill();
    try (var files = Files.list(directory)) {
      if (System.getenv("KEEP") == null) files.forEach(file -> file.toFile().delete());
      else System.err.println(directory);
    } catch (IOException e) {
      // The folder is gone.
    }
    if (System.getenv("KEEP") == null) directory.toFile().delete();
  }

  /** A config with one tenant and a route of each kind. */
  static String config(int version, int syncReplicas, int timeoutMillis) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("print", "primary", timeoutMillis, "") + ","
        + route("browse", "bounded", timeoutMillis, ",\"maxStaleMs\":1500") + ","
        + route("proof", "session", timeoutMillis, ",\"maxStaleMs\":2500")
        + "],\"services\":[{\"name\":\"kartoteka\",\"healthPath\":\"/healthz\",\"maxConns\":34,\"protocol\":\"h1\","
        + "\"tls\":false,\"syncReplicas\":" + syncReplicas + "}],\"limits\":{\"txIdleMs\":3000},\"tenants\":["
        + "{\"name\":\"club\",\"apiKeys\":[\"key-of-club\"],\"prio\":1,\"opsPerS\":400,\"burst\":400}]}";
  }

  private static String route(String name, String type, int timeoutMillis, String more) {
    return "{\"name\":\"r-" + name + "\",\"host\":\"" + name + "\",\"prefix\":\"/\",\"type\":\"" + type
        + "\",\"timeoutMs\":" + timeoutMillis + ",\"goalMs\":400,\"prio\":1,\"service\":\"kartoteka\",\"attempts\":2"
        + more + ",\"public\":false}";
  }
}
