import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The databases have no commit yet, so that their positions are "-". The primary crashes, and the final fault follows: all
 * processes are killed and start again. Later than recoveryS a quarter of the requests must be served. With {@code
 * CONTROL=commit} a client writes once before, and all else is the same.
 */
final class FreshDatabase {
  private static final int CLIENTS = 4;
  private static final long RECOVERY_MILLIS = 12_000;

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
    rig.group.hasNoPositionWhenEmpty = true;
    if (!rig.start(3, Rig.config(1, 0, 3_000))) rig.exit(2, "the machines did not get ready");
    if ("commit".equals(System.getenv("CONTROL"))) {
      try (Client client = new Client(rig.hosts.get(0), "print", "key-of-club", 0)) {
        rig.record.line("one write: " + client.query(Client.nextId(), "WRITE item data", 3_000).code());
      }
    }
    Span before = span;
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Threads.start(() -> reads(rig, rig.hosts.get(number % rig.hosts.size())));
    }
    Threads.sleep(8_000);
    Span between = new Span();
    if (rig.hasTrouble) {
      rig.group.backends.get(0).crash();
      Threads.sleep(500);
      for (Host host : rig.hosts) {
        rig.record.line("SIGKILL of " + host.name);
        host.kill();
      }
      span = between;
      Threads.sleep(1_000);
      for (Host host : rig.hosts) host.start(Rig.ZONES);
    }
    Threads.sleep(RECOVERY_MILLIS);
    rig.record.line("recoveryS after the machines are back");
    Span after = new Span();
    span = after;
    Threads.sleep(15_000);
    rig.record.line("served before " + before + ", during the recovery " + between + ", after it " + after);
    if (before.served.get() * 4 < before.sent.get()) rig.exit(2, "too little was served before");
    if (after.sent.get() == 0) rig.exit(2, "nothing was sent after the recovery");
    if (after.served.get() * 4 >= after.sent.get()) rig.exit(0, "held: served " + after + " after the recovery");
    rig.exit(1, "RECOVER: served " + after + " after the recovery, " + before + " before the final fault");
  }

  private static void reads(Rig rig, Host host) {
    while (true) {
      Span current = span;
      current.sent.incrementAndGet();
      String id = Client.nextId();
      try (Client client = new Client(host, "browse", "key-of-club", 0)) {
        rig.record.line("client at " + host.name + " sends " + id + " READ item");
        Client.Answer answer = client.query(id, "READ item", 8_000);
        rig.record.line("client at " + host.name + " gets " + id + " " + answer.code() + " " + answer.text());
        if (answer.isSuccess()) current.served.incrementAndGet();
      } catch (IOException e) {
        rig.record.line("client at " + host.name + " is not served: " + e.getMessage());
      }
      Threads.sleep(100);
    }
  }
}
