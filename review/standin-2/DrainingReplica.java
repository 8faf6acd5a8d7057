import java.io.IOException;
import java.nio.file.Path;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * With {@code syncReplicas} 1, a replica is draining and the other one receives nothing for a while; then the primary
 * crashes. Each commit that a client got acknowledged must be in the log of the backend that is promoted. With
 * {@code TROUBLE=0} and {@code CONTROL=crash} the primary crashes and nothing else happens.
 */
final class DrainingReplica {
  private static final int CLIENTS = 3;

  public static void main(String[] arguments) throws IOException {
    Rig rig = new Rig(Path.of(arguments[0]));
    rig.group.syncReplicas = 1;
    if (!rig.start(3, Rig.config(1, 1, 1_000))) rig.exit(2, "the machines did not get ready");
    Backend primary = rig.group.backends.get(0);
    Backend draining = rig.group.backends.get(1);
    Backend deaf = rig.group.backends.get(2);
    Set<String> acknowledged = Collections.synchronizedSet(new LinkedHashSet<>());
    AtomicBoolean isOver = new AtomicBoolean();
    for (int i = 0; i < CLIENTS; i++) {
      Host host = rig.hosts.get(i % rig.hosts.size());
      Threads.start(() -> writes(rig, host, acknowledged, isOver));
    }
    Threads.sleep(3_000);
    if (rig.hasTrouble) {
      draining.drain();
      Threads.sleep(1_000);
      synchronized (rig.group) {
        deaf.isDeaf = true;
        rig.record.line(deaf.id + " receives nothing for a while");
      }
      Threads.sleep(2_000);
    }
    boolean mustCrash = rig.hasTrouble || "crash".equals(System.getenv("CONTROL"));
    if (mustCrash) primary.crash();
    // The draining replica goes on for drainMs and longer; the deaf one receives again 6 s after it fell behind.
    Threads.sleep(4_000);
    synchronized (rig.group) {
      deaf.isDeaf = false;
      rig.record.line(deaf.id + " receives again");
    }
    Threads.sleep(8_000);
    isOver.set(true);
    Threads.sleep(1_500);
    Backend promoted = rig.group.primary();
    if (promoted == null || mustCrash && promoted == primary) rig.exit(2, "no backend was promoted");
    Set<String> kept = new HashSet<>();
    synchronized (rig.group) {
      for (Group.Commit commit : promoted.log) kept.add(commit.id());
    }
    Set<String> lost = new LinkedHashSet<>(acknowledged);
    lost.removeAll(kept);
    rig.record.line("acknowledged " + acknowledged.size() + ", lost " + lost);
    if (lost.isEmpty()) rig.exit(0, "held: all " + acknowledged.size() + " acknowledged commits are at the primary, " + promoted.id);
    rig.exit(1, "LOST: " + lost.size() + " of " + acknowledged.size() + " acknowledged commits are not at the promoted " + promoted.id);
  }

  private static void writes(Rig rig, Host host, Set<String> acknowledged, AtomicBoolean isOver) {
    while (!isOver.get()) {
      try (Client client = new Client(host, "print", "key-of-club", 0)) {
        while (!isOver.get()) {
          String id = Client.nextId();
          rig.record.line("client at " + host.name + " sends " + id + " WRITE");
          Client.Answer answer = client.query(id, "WRITE item" + id + " data", 3_000);
          rig.record.line("client at " + host.name + " gets " + id + " " + answer.code() + " " + answer.text());
          if (answer.isSuccess()) acknowledged.add(id);
          if (!answer.isWhole()) break;
          Threads.sleep(30);
        }
      } catch (IOException e) {
        rig.record.line("client at " + host.name + " is not served: " + e.getMessage());
        Threads.sleep(200);
      }
    }
  }
}
