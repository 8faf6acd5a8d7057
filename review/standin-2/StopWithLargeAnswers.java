import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One machine gets SIGTERM while its clients read long answers. Each request that it has passed on to a backend must be
 * answered whole. A request that the machine had not read when it closed an idle session doesn't count.
 */
final class StopWithLargeAnswers {
  /** The rows of an answer; each is far below the 1 MiB that a message may have. */
  private static final int ROWS = 96;
  private static final int ROW_BYTES = 64 * 1024;

  /** What a client's link carries (100 Mbit/s), and its window. */
  private static final int BYTES_PER_MILLI = 12_500;
  private static final int WINDOW_BYTES = 64 * 1024;
  private static final int CLIENTS = 4;
  private static final int TIMEOUT_MILLIS = 3_000;

  public static void main(String[] arguments) throws IOException {
    Rig rig = new Rig(Path.of(arguments[0]));
    String row = "x".repeat(ROW_BYTES);
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < ROWS; i++) rows.add(row);
    rig.group.rowsOf = item -> rows;
    if (!rig.start(3, Rig.config(1, 0, TIMEOUT_MILLIS))) rig.exit(2, "the machines did not get ready");
    Host stopped = rig.hosts.get(0);
    Set<String> cut = ConcurrentHashMap.newKeySet();
    Set<String> whole = ConcurrentHashMap.newKeySet();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      threads.add(Threads.start(() -> session(rig, stopped, number, cut, whole)));
    }
    Threads.sleep(4_000);
    if (rig.hasTrouble) stopped.signal("TERM");
    Threads.sleep(8_000);
    rig.record.line("answered whole: " + whole.size() + ", cut: " + cut.size());
    if (whole.isEmpty()) rig.exit(2, "no request was answered");
    if (cut.isEmpty()) rig.exit(0, "held: all " + whole.size() + " requests that a backend ran got their whole answers");
    rig.exit(1, "LOST: " + cut.size() + " requests that a backend ran got no whole answer, " + whole.size() + " did");
  }

  private static void session(Rig rig, Host host, int number, Set<String> cut, Set<String> whole) {
    try (Client client = new Client(host, "browse", "key-of-club", WINDOW_BYTES)) {
      for (int i = 0; rig.record.millis() < 100_000; i++) {
        String id = Client.nextId();
        rig.record.line("client " + number + " sends " + id + " READ " + i);
        long sentMillis = rig.record.millis();
        Client.Answer answer = client.query(id, "READ " + i, 10_000, BYTES_PER_MILLI);
        long tookMillis = rig.record.millis() - sentMillis;
        rig.record.line("client " + number + " gets " + id + " " + answer.code() + " " + answer.text() + ", "
            + answer.bytes() + " bytes after " + tookMillis + " ms, " + (answer.isWhole() ? "whole" : "ended before"));
        if (answer.isWhole()) whole.add(id);
        else if (rig.group.ran.contains(id) && tookMillis < TIMEOUT_MILLIS) cut.add(id);
        if (!answer.isWhole()) return;
        Threads.sleep(20);
      }
    } catch (IOException e) {
      rig.record.line("client " + number + " is not served: " + e.getMessage());
    }
  }
}
