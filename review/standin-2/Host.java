import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** One machine with a process of the deploy file. */
final class Host {
  final String name;
  final String ip;
  final String zone;
  final Store.Door door;
  private final Ports ports;
  private final String cloud;
  private final Path directory;
  private final Record record;
  Process process;

  /** The ports that all machines use. */
  record Ports(int front, int ready, int control, int peer) {}

  Host(String name, String ip, String zone, Ports ports, Store.Door door, String cloud, Path directory, Record record) {
    this.name = name;
    this.ip = ip;
    this.zone = zone;
    this.ports = ports;
    this.door = door;
    this.cloud = cloud;
    this.directory = directory;
    this.record = record;
  }

  /** The command of the role in the deploy file. */
  static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }
    throw new IOException("deploy/system.toml has no line run");
  }

  String frontIp() {
    return ip;
  }

  int frontPort() {
    return ports.front;
  }

  void start(List<String> zones) throws IOException {
    StringBuilder settings = new StringBuilder();
    settings.append("node=").append(name).append("\nrole=lane\nmachineClass=front\nserves=front\nip=").append(ip);
    settings.append("\nzone=").append(zone).append("\nregion=r\n");
    for (String each : zones) settings.append("zones.").append(each).append("=r\n");
    settings.append("listen.front=").append(ip).append(':').append(ports.front);
    settings.append("\nlisten.ready=").append(ip).append(':').append(ports.ready);
    settings.append("\nportRange=").append(ports.peer).append(',').append(ports.peer + 15);
    settings.append("\nbootstrap=true\nlimits.cpuShare=0.75\nlimits.cores=1\nlimits.memoryMb=430\nlimits.maxFds=4200\n");
    settings.append("limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n");
    settings.append("contracts=base,drain,config,cost,recover,sql,tenants,quota,platform\n");
    settings.append("bounds.stableMs=4000\nbounds.drainMs=7000\nbounds.graceS=6\nbounds.lostMs=200\nbounds.applyMs=3000\n");
    settings.append("bounds.backMs=250\nbounds.enforceFence=false\nbounds.thawMs=300\nplatform.form=table\n");
    settings.append("platform.addr=").append(door.address).append("\ncloud.addr=").append(cloud).append('\n');
    Path file = directory.resolve(name + ".conf");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CARDAMOMLANE_CONFIG", file.toString());
    File log = directory.resolve(name + ".log").toFile();
    process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
    record.line("start of " + name);
  }

  boolean isReady() {
    try {
      URI uri = URI.create("http://" + ip + ":" + ports.ready + "/-/ready");
      HttpURLConnection probe = (HttpURLConnection) uri.toURL().openConnection();
      probe.setConnectTimeout(500);
      probe.setReadTimeout(500);
      int status = probe.getResponseCode();
      probe.disconnect();
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void signal(String name) throws IOException {
    record.line(this.name + " gets SIG" + name);
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void kill() {
    if (process != null) process.destroyForcibly();
  }
}
