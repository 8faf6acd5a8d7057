import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;

/** One database server that speaks the wire protocol of the pages. */
final class Backend {
  final Group group;
  final String id;
  final String zone;
  final List<Group.Commit> log = new ArrayList<>();
  private final List<Long> receivedAtMillis = new ArrayList<>();
  private final Set<Socket> sockets = new HashSet<>();
  private final ServerSocket server;
  private final Semaphore slots;
  private long sequence;
  private long bornMillis;
  private long digests;
  boolean isRunning;
  boolean isPrimary;
  boolean isDraining;

  /** True while it receives nothing as a replica. */
  boolean isDeaf;
  long term = 1;

  Backend(Group group, String id, String ip, String zone) throws IOException {
    this.group = group;
    this.id = id;
    this.zone = zone;
    slots = new Semaphore(group.slots, true);
    server = new ServerSocket(0, 64, InetAddress.getByName(ip));
    Threads.start(this::accept);
  }

  void start(boolean asPrimary) {
    synchronized (group) {
      isRunning = true;
      isPrimary = asPrimary;
      bornMillis = System.currentTimeMillis();
      report();
    }
    Threads.every(1_200, this::report);
  }

  /** Ends at once and sends nothing more. Its entry lapses after three ping intervals. */
  void crash() {
    synchronized (group) {
      isRunning = false;
      group.record.line("crash of " + id + " with " + log.size() + " commits");
      group.notifyAll();
    }
    synchronized (sockets) {
      for (Socket socket : sockets) close(socket);
    }
    Threads.after(3_600, () -> {
      if (!isRunning) group.store.remove("servers", id);
    });
  }

  void drain() {
    synchronized (group) {
      isDraining = true;
      group.record.line(id + " reports draining");
      report();
    }
  }

  void report() {
    synchronized (group) {
      if (!isRunning) return;
      group.store.put("servers", id, "{\"service\":" + Json.quote(group.name) + ",\"addr\":\""
          + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort() + "\",\"zone\":" + Json.quote(zone)
          + ",\"version\":\"v1\",\"slots\":" + group.slots + ",\"state\":\"" + (isDraining ? "draining" : "ready")
          + "\",\"warmupMs\":0,\"dbRole\":\"" + (isPrimary ? "primary" : "replica") + "\",\"seq\":" + ++sequence
          + ",\"born\":" + bornMillis + "}");
    }
  }

  /** Receives the log of {@code primary}, unless it follows another one or receives nothing now. */
  void receive(Backend primary) {
    if (this == primary || !isRunning || isPrimary || isDeaf || term != primary.term) return;
    for (int i = log.size(); i < primary.log.size(); i++) append(primary.log.get(i));
  }

  /** Follows {@code primary} from now on. What it has beyond that log is rolled back. */
  void follow(Backend primary) {
    term = primary.term;
    int same = 0;
    while (same < log.size() && same < primary.log.size() && log.get(same) == primary.log.get(same)) same++;
    for (int i = log.size() - 1; i >= same; i--) {
      group.record.line("rolled back at " + id + ": " + log.get(i).id());
      log.remove(i);
      receivedAtMillis.remove(i);
    }
    receive(primary);
  }

  void demote(long newTerm) {
    synchronized (group) {
      if (!isRunning || !isPrimary || term >= newTerm) return;
      isPrimary = false;
      Backend primary = group.primary();
      if (primary != null) follow(primary);
      report();
    }
  }

  private void append(Group.Commit commit) {
    log.add(commit);
    receivedAtMillis.add(group.record.millis());
  }

  private int applied() {
    if (isPrimary) return log.size();
    int count = log.size();
    while (count > 0 && receivedAtMillis.get(count - 1) > group.record.millis() - group.applyMillis) count--;
    return count;
  }

  private String position() {
    synchronized (group) {
      return positionOf(applied());
    }
  }

  private String positionOf(int count) {
    return count == 0 && group.hasNoPositionWhenEmpty ? "-" : term + "." + count;
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = server.accept();
        synchronized (sockets) {
          if (!isRunning || sockets.size() >= group.maxConnections) {
            if (isRunning) socket.getOutputStream().write("ERR TOOMANY full\r\n".getBytes(StandardCharsets.ISO_8859_1));
            close(socket);
            continue;
          }
          sockets.add(socket);
        }
        Threads.start(() -> new Session(socket).run());
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed all the same.
    }
  }

  /** Reads a line that ends with CR LF, a character a byte, or returns null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int b = in.read();
      if (b < 0) return null;
      line.append((char) b);
      int length = line.length();
      if (b == '\n' && length >= 2 && line.charAt(length - 2) == '\r') return line.substring(0, length - 2);
    }
  }

  private final class Session {
    private final Socket socket;
    private final Map<String, String[]> plans = new HashMap<>();
    private final List<Group.Commit> writes = new ArrayList<>();
    private OutputStream out;
    private char state = 'I';
    private String tenant;
    private boolean isReadOnly;

    Session(Socket socket) {
      this.socket = socket;
    }

    void run() {
      try {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        out = socket.getOutputStream();
        String first = readLine(in);
        String[] start = first == null ? new String[0] : first.split(" ");
        if (start.length < 3 || !start[1].equals(group.name) || start.length > 3 && !start[3].equals(id)) {
          send("ERR WRONGNODE " + id + "\r\n");
          return;
        }
        tenant = start[2];
        work(12);
        send("READY I " + position() + "\r\n");
        for (String line = readLine(in); line != null; line = readLine(in)) {
          if (line.equals("QUIT")) return;
          String[] words = line.split(" ", 3);
          if (words.length < 3 || !words[0].equals("QUERY")) return;
          String answer = answer(words[1], words[2]);
          if (!isRunning) return;
          send(answer + "READY " + state + " " + position() + "\r\n");
        }
      } catch (IOException | InterruptedException e) {
        // The connection has ended.
      } finally {
        close(socket);
        synchronized (sockets) {
          sockets.remove(socket);
        }
      }
    }

    private void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    private void work(long millis) throws InterruptedException {
      slots.acquire();
      try {
        Thread.sleep(millis);
      } finally {
        slots.release();
      }
    }

    private String error(String code, String text) {
      if (state == 'T') state = 'E';
      return "ERR " + code + " " + text + "\r\n";
    }

    private String answer(String queryId, String text) throws InterruptedException {
      String statement = text;
      if (text.startsWith("AFTER ")) {
        String[] words = text.split(" ", 3);
        statement = words[2];
        if (lacks(words[1])) return error("LAGGING", position());
      }
      String[] words = statement.split(" ", 4);
      switch (words[0]) {
        case "ROLLBACK":
          state = 'I';
          writes.clear();
          return "DONE -\r\n";
        case "COMMIT":
          return commit(queryId);
        default:
          break;
      }
      if (state == 'E') return "ERR MALFORMED the transaction has failed\r\n";
      switch (words[0]) {
        case "BEGIN":
          isReadOnly = words.length > 1;
          if (!isReadOnly && !isPrimary) return error("READONLY", id);
          state = 'T';
          return "DONE -\r\n";
        case "SET":
          return "DONE -\r\n";
        case "PREPARE":
          plans.put(words[1], new String[] {words[2], words[3]});
          return "DONE -\r\n";
        case "CLOSE":
          plans.remove(words[1]);
          return "DONE -\r\n";
        case "RESET":
          plans.clear();
          return "DONE -\r\n";
        case "STATUS":
          synchronized (group) {
            return "ROW " + (isPrimary ? "primary " : "replica ") + term + " " + positionOf(log.size()) + " 0 0 "
                + (group.slots - slots.availablePermits()) + " " + sockets.size() + "\r\nDONE -\r\n";
          }
        case "DEMOTE":
          demote(Long.parseLong(words[1]));
          return "ROW replica " + term + " " + term + "." + log.size() + " 0 0 0 1\r\nDONE -\r\n";
        case "READ":
          return read(queryId, statement.substring(5));
        case "WRITE":
          return write(queryId, statement);
        case "EXEC":
          String[] plan = plans.get(words[1]);
          if (plan == null) return error("NOSTMT", words[1]);
          return plan[0].equals("READ") ? read(queryId, words[2]) : write(queryId, statement);
        default:
          return error("MALFORMED", words[0]);
      }
    }

    private boolean lacks(String position) {
      synchronized (group) {
        int dot = position.indexOf('.');
        long afterTerm = Long.parseLong(position.substring(0, dot));
        long number = Long.parseLong(position.substring(dot + 1));
        return term < afterTerm || applied() < number;
      }
    }

    private String read(String queryId, String item) throws InterruptedException {
      work(group.workMillis);
      group.ran.add(queryId);
      group.tenantOf.put(queryId, tenant);
      group.record.line("run " + queryId + " READ at " + id);
      StringBuilder rows = new StringBuilder();
      for (String row : group.rowsOf.apply(item)) rows.append("ROW ").append(row).append("\r\n");
      return rows + "DONE " + id + "." + ++digests + "\r\n";
    }

    private String write(String queryId, String text) throws InterruptedException {
      if (!isPrimary || state == 'T' && isReadOnly) return error("READONLY", id);
      work(group.workMillis);
      group.tenantOf.put(queryId, tenant);
      writes.add(new Group.Commit(queryId, text));
      if (state == 'T') return "DONE " + id + "." + ++digests + "\r\n";
      return commit(queryId);
    }

    private String commit(String queryId) throws InterruptedException {
      if (state == 'E') {
        state = 'I';
        writes.clear();
        return "ERR ABORTED rolled back\r\n";
      }
      state = 'I';
      int number;
      synchronized (group) {
        if (!writes.isEmpty() && !isPrimary) {
          writes.clear();
          return "ERR READONLY " + id + "\r\n";
        }
        for (Group.Commit write : writes) {
          append(write);
          group.record.line("commit " + write.id() + " at " + id + " number " + log.size());
        }
        number = log.size();
      }
      if (!writes.isEmpty()) {
        writes.clear();
        group.replicate(Backend.this);
        if (group.syncReplicas > 0) group.awaitReceipt(Backend.this, number);
      }
      return "DONE " + id + "." + ++digests + "\r\n";
    }
  }
}
