import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store: rows in tables, of which only the empty part is used. */
final class Store {
  private record Row(String table, String key, String value, long version) {}

  /** The front of the store for one machine, which may refuse it. */
  static final class Door {
    /** The status of each answer, or 0 while the machine is served. */
    volatile int refusal;
    String address;
  }

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final long startNanos = System.nanoTime();
  private long version;

  /** Opens a front of the store on a free port of {@code ip}. */
  Door open(String ip) throws IOException {
    Door door = new Door();
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 128);
    server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
    server.createContext("/-/rows-get", exchange -> serve(door, exchange, this::get));
    server.createContext("/-/rows-feed", exchange -> serve(door, exchange, this::feed));
    server.createContext("/-/rows-tx", exchange -> serve(door, exchange, this::change));
    server.start();
    door.address = ip + ":" + server.getAddress().getPort();
    return door;
  }

  private interface Call {
    Answer answer(Map<String, String> query, String body) throws InterruptedException;
  }

  private record Answer(int status, String body) {}

  private void serve(Door door, HttpExchange exchange, Call call) throws IOException {
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Thread.sleep(4);
      Answer answer = door.refusal != 0 ? null : call.answer(query(exchange), body);
      if (door.refusal != 0) answer = new Answer(door.refusal, "{}");
      byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.getResponseHeaders().set("Store-Era", "1");
      exchange.sendResponseHeaders(answer.status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String text = exchange.getRequestURI().getRawQuery();
    for (String part : (text == null ? "" : text).split("&")) {
      int equals = part.indexOf('=');
      if (equals < 0) continue;
      String value = URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8);
      query.put(part.substring(0, equals), value);
    }
    return query;
  }

  private synchronized Answer get(Map<String, String> query, String body) {
    String table = query.get("table");
    String from = query.getOrDefault("from", "");
    List<Row> found = new ArrayList<>();
    for (Row row : rows.values()) {
      if (row.table.equals(table) && row.key.compareTo(from) >= 0) found.add(row);
    }
    return new Answer(200, page(found, false));
  }

  private synchronized Answer feed(Map<String, String> query, String body) throws InterruptedException {
    String table = query.get("table");
    long after = Long.parseLong(query.get("after"));
    long endNanos = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (true) {
      Map<String, Row> changed = new TreeMap<>();
      for (Row row : history) {
        if (row.table.equals(table) && row.version > after) changed.put(row.key, row);
      }
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changed.isEmpty() || leftMillis <= 0) {
        List<Row> inOrder = new ArrayList<>(changed.values());
        inOrder.sort((a, b) -> Long.compare(a.version, b.version));
        return new Answer(200, page(inOrder, true));
      }
      wait(leftMillis);
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized Answer change(Map<String, String> query, String body) {
    Map<String, Object> change = (Map<String, Object>) Json.parse(body);
    List<Row> wrong = new ArrayList<>();
    boolean holds = true;
    for (Object entry : (List<Object>) change.getOrDefault("precondition", List.of())) {
      Map<String, Object> expected = (Map<String, Object>) entry;
      Row row = rows.get(name((String) expected.get("table"), (String) expected.get("key")));
      if (row != null) wrong.add(row);
      long found = row == null ? 0 : row.version;
      holds &= found == ((Double) expected.get("ver")).longValue();
    }
    if (!holds) return new Answer(412, page(wrong, false));
    version++;
    for (Object entry : (List<Object>) change.getOrDefault("upserts", List.of())) {
      Map<String, Object> row = (Map<String, Object>) entry;
      set(new Row((String) row.get("table"), (String) row.get("key"), (String) row.get("value"), version));
    }
    for (Object entry : (List<Object>) change.getOrDefault("remove", List.of())) {
      Map<String, Object> row = (Map<String, Object>) entry;
      set(new Row((String) row.get("table"), (String) row.get("key"), null, version));
    }
    notifyAll();
    return new Answer(200, "{\"ver\":" + version + ",\"nowMs\":" + nowMillis() + "}");
  }

  /** Writes a row as the operator and the backends do. */
  synchronized void put(String table, String key, String text) {
    version++;
    set(new Row(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), version));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    set(new Row(table, key, null, version));
    notifyAll();
  }

  private void set(Row row) {
    history.add(row);
    if (row.value == null) rows.remove(name(row.table, row.key));
    else rows.put(name(row.table, row.key), row);
  }

  private static String name(String table, String key) {
    return table + "\u0000" + key;
  }

  private double nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000.0;
  }

  private String page(List<Row> found, boolean isFeed) {
    StringBuilder out = new StringBuilder("{\"rows\":[");
    for (Row row : found) {
      if (out.charAt(out.length() - 1) == '}') out.append(',');
      out.append("{\"table\":").append(Json.quote(row.table)).append(",\"part\":\"\",\"key\":").append(Json.quote(row.key));
      if (row.value != null) out.append(",\"value\":").append(Json.quote(row.value));
      else out.append(",\"tombstone\":true");
      out.append(",\"ver\":").append(row.version).append('}');
    }
    out.append("],\"hasMore\":false,\"ver\":").append(version).append(",\"nowMs\":").append(nowMillis());
    return out.append('}').toString();
  }
}
