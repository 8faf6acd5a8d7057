import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** One service: backends that replicate from one primary. Its lock guards the state of all of them. */
final class Group {
  /** A commit of a write, in the log of the backends that have received it. */
  record Commit(String id, String text) {}

  final String name;
  final Store store;
  final Record record;
  final List<Backend> backends = new ArrayList<>();

  /** How many replicas must have received a commit before it is acknowledged. */
  int syncReplicas;

  /** From a commit at the primary to its arrival at a replica, and from there to the moment when it can be read. */
  long receiveMillis = 1;
  long applyMillis = 8;
  long promoteMillis = 300;
  long workMillis = 11;
  int slots = 5;
  int maxConnections = 34;
  long newestTerm = 1;

  /** True when the position of a log without commits is "-", else it is the term and 0. */
  boolean hasNoPositionWhenEmpty;

  /** The ids of the reads that a backend has run. */
  final Set<String> ran = ConcurrentHashMap.newKeySet();

  /** The tenant in whose name a backend ran a read or write, by the id of the statement. */
  final Map<String, String> tenantOf = new ConcurrentHashMap<>();

  /** What a read of an item returns. */
  Function<String, List<String>> rowsOf = item -> List.of("v" + item);

  Group(String name, Store store, Record record) {
    this.name = name;
    this.store = store;
    this.record = record;
  }

  Backend add(String id, String ip, String zone) throws IOException {
    Backend backend = new Backend(this, id, ip, zone);
    backends.add(backend);
    return backend;
  }

  synchronized Backend primary() {
    Backend newest = null;
    for (Backend backend : backends) {
      if (backend.isRunning && backend.isPrimary && (newest == null || backend.term > newest.term)) newest = backend;
    }
    return newest;
  }

  synchronized Backend find(String id) {
    for (Backend backend : backends) if (backend.id.equals(id)) return backend;
    return null;
  }

  /** Sends the log of {@code primary} to the replicas that receive it. */
  synchronized void replicate(Backend primary) {
    Threads.after(receiveMillis, () -> {
      synchronized (Group.this) {
        if (!primary.isRunning) return;
        for (Backend replica : backends) replica.receive(primary);
        notifyAll();
      }
    });
  }

  /** Waits until a commit that {@code primary} has as its {@code number}th may be acknowledged. */
  synchronized boolean awaitReceipt(Backend primary, int number) throws InterruptedException {
    while (primary.isRunning) {
      int received = 0;
      for (Backend other : backends) {
        if (other != primary && other.isRunning && other.term == primary.term && other.log.size() >= number) received++;
      }
      if (received >= syncReplicas) return true;
      wait(20);
    }
    return false;
  }

  /** Orders a promotion, which happens a moment later. Returns the status of the answer. */
  synchronized int promote(String id) {
    Backend target = find(id);
    if (target == null || !target.isRunning) return 409;
    if (target == primary()) return 200;
    Threads.after(promoteMillis, () -> lead(target));
    return 200;
  }

  private synchronized void lead(Backend target) {
    if (!target.isRunning || target.isPrimary && target.term == newestTerm) return;
    target.term = ++newestTerm;
    target.isPrimary = true;
    record.line("promoted " + target.id + " term " + target.term + " with " + target.log.size() + " commits");
    target.report();
    for (Backend other : backends) {
      if (other == target || !other.isRunning) continue;
      if (other.isPrimary) Threads.after(1_000, () -> other.demote(target.term));
      else other.follow(target);
    }
    notifyAll();
  }
}
