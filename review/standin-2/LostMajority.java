import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Most machines are lost for good at the moment of the final fault, and the primary crashes. Later than recoveryS a quarter
 * of the requests must be served. With {@code CONTROL=return} all machines come back, and all else is the same.
 */
final class LostMajority {
  private static final int MACHINES = 6;
  private static final int LEFT = 2;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long JUDGED_MILLIS = 55_000;

  /** The requests of one span of time. */
  private static final class Span {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();

    @Override
    public String toString() {
      return served + " of " + sent;
    }
  }

  private static volatile Span span = new Span();

  public static void main(String[] arguments) throws IOException {
    Rig rig = new Rig(Path.of(arguments[0]));
    if (!rig.start(MACHINES, Rig.config(1, 0, 1_000))) rig.exit(2, "the machines did not get ready");
    List<Host> left = rig.hosts.subList(0, LEFT);
    Span before = span;
    for (Host host : left) {
      Threads.start(() -> requests(rig, host, "print", "WRITE item data"));
      Threads.start(() -> requests(rig, host, "browse", "READ item"));
    }
    Threads.sleep(8_000);
    Span between = new Span();
    if (rig.hasTrouble) {
      rig.group.backends.get(0).crash();
      for (Host host : rig.hosts) {
        rig.record.line("SIGKILL of " + host.name);
        host.kill();
      }
      span = between;
      Threads.sleep(1_000);
      boolean doAllReturn = "return".equals(System.getenv("CONTROL"));
      for (Host host : doAllReturn ? rig.hosts : left) host.start(Rig.ZONES);
    }
    Threads.sleep(RECOVERY_MILLIS);
    rig.record.line("recoveryS after the machines are back");
    Span after = new Span();
    span = after;
    Threads.sleep(JUDGED_MILLIS);
    rig.record.line("served before " + before + ", during the recovery " + between + ", after it " + after);
    if (before.served.get() * 4 < before.sent.get()) rig.exit(2, "too little was served before");
    if (after.sent.get() == 0) rig.exit(2, "nothing was sent after the recovery");
    if (after.served.get() * 4 >= after.sent.get()) rig.exit(0, "held: served " + after + " after the recovery");
    rig.exit(1, "RECOVER: served " + after + " after the recovery, " + before + " before the final fault");
  }

  private static void requests(Rig rig, Host host, String database, String text) {
    while (true) {
      Span current = span;
      current.sent.incrementAndGet();
      String id = Client.nextId();
      try (Client client = new Client(host, database, "key-of-club", 0)) {
        rig.record.line("client at " + host.name + " sends " + id + " " + text);
        Client.Answer answer = client.query(id, text, 8_000);
        rig.record.line("client at " + host.name + " gets " + id + " " + answer.code() + " " + answer.text());
        if (answer.isSuccess()) current.served.incrementAndGet();
      } catch (IOException e) {
        rig.record.line("client at " + host.name + " is not served: " + e.getMessage());
      }
      Threads.sleep(200);
    }
  }
}
