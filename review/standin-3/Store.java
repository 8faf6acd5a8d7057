import com.sun.net.httpserver.*;
import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** The platform's store with the calls that the page names, without faults. It also answers POST /promote. */
final class Store implements AutoCloseable {
    /** What one call to promote does. */
    interface Promoter {
        int promote(String service, String id, String holder, String fence);
    }

    record Row(String table, String part, String key, String value, long ver, boolean isTombstone) {
        Map<String, Object> json() {
            Map<String, Object> map = new LinkedHashMap<>();
            map.put("table", table);
            map.put("part", part);
            map.put("key", key);
            if (isTombstone) map.put("tombstone", true);
            else map.put("value", value);
            map.put("ver", ver);
            return map;
        }
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(Threads.daemons("store"));
    private final Map<String, Row> rows = new HashMap<>();
    private final NavigableMap<Long, List<Row>> history = new TreeMap<>();
    private final Map<String, byte[]> blobs = new TreeMap<>();
    private final long start = System.nanoTime();
    private long ver = 1;
    volatile Promoter promoter = (service, id, holder, fence) -> 200;

    Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 200);
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    String address() {
        return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
    }

    private static String name(String table, String part, String key) {
        return table + "\0" + part + "\0" + key;
    }

    /** Writes a row as the operator or a backend does. */
    synchronized void put(String table, String key, Object json) {
        ver++;
        byte[] bytes = Json.write(json).getBytes(StandardCharsets.UTF_8);
        apply(new Row(table, "", key, Base64.getEncoder().encodeToString(bytes), ver, false));
        notifyAll();
    }

    synchronized void drop(String table, String key) {
        if (!rows.containsKey(name(table, "", key))) return;
        ver++;
        apply(new Row(table, "", key, null, ver, true));
        notifyAll();
    }

    private void apply(Row row) {
        if (row.isTombstone) rows.remove(name(row.table, row.part, row.key));
        else rows.put(name(row.table, row.part, row.key), row);
        history.computeIfAbsent(row.ver, v -> new ArrayList<>()).add(row);
    }

    private void serve(HttpExchange call) throws IOException {
        try {
            String path = call.getRequestURI().getPath();
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            byte[] body = call.getRequestBody().readAllBytes();
            call.getResponseHeaders().set("Store-Era", "1");
            if (path.equals("/promote")) promote(call, body);
            else if (path.equals("/-/rows-tx")) transact(call, body);
            else if (path.equals("/-/rows-get")) get(call, query);
            else if (path.equals("/-/rows-parts")) parts(call, query);
            else if (path.equals("/-/rows-feed")) feed(call, query);
            else if (path.startsWith("/-/blob-")) blob(call, path, query, body);
            else answer(call, 404, Map.of());
        } catch (RuntimeException | InterruptedException e) {
            answer(call, 400, Map.of("reason", e.toString()));
        } finally {
            call.close();
        }
    }

    private void promote(HttpExchange call, byte[] body) throws IOException {
        Map<String, Object> json = Json.object(new String(body, StandardCharsets.UTF_8));
        int status = promoter.promote(
            (String) json.get("service"), (String) json.get("id"),
            call.getRequestHeaders().getFirst("X-Lease-Holder"), call.getRequestHeaders().getFirst("X-Fence-Token"));
        answer(call, status, Map.of());
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> list(Object value) {
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    private static String text(Object value) {
        return value == null ? "" : value.toString();
    }

    private void transact(HttpExchange call, byte[] body) throws IOException, InterruptedException {
        Thread.sleep(5);
        Map<String, Object> json = Json.object(new String(body, StandardCharsets.UTF_8));
        int status = 200;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> current = new ArrayList<>();
            for (Map<String, Object> each : list(json.get("precondition"))) {
                Row row = rows.get(name(text(each.get("table")), text(each.get("part")), text(each.get("key"))));
                if (row != null) current.add(row.json());
                if ((row == null ? 0 : row.ver) != ((Number) each.get("ver")).longValue()) status = 412;
            }
            if (status == 200) {
                ver++;
                for (Map<String, Object> each : list(json.get("upserts"))) {
                    apply(new Row(text(each.get("table")), text(each.get("part")), text(each.get("key")),
                        text(each.get("value")), ver, false));
                }
                for (Map<String, Object> each : list(json.get("remove"))) {
                    String table = text(each.get("table")), part = text(each.get("part")), key = text(each.get("key"));
                    if (rows.containsKey(name(table, part, key))) apply(new Row(table, part, key, null, ver, true));
                }
                notifyAll();
            } else {
                answer.put("rows", current);
            }
            stamp(answer);
        }
        answer(call, status, answer);
    }

    private void stamp(Map<String, Object> answer) {
        answer.put("ver", ver);
        answer.put("nowMs", (System.nanoTime() - start) / 1_000_000);
    }

    private void get(HttpExchange call, Map<String, String> query) throws IOException {
        String table = query.getOrDefault("table", ""), part = query.getOrDefault("part", "");
        String from = query.getOrDefault("from", ""), to = query.get("to");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            TreeMap<String, Row> sorted = new TreeMap<>();
            for (Row row : rows.values()) if (row.table.equals(table) && row.part.equals(part)) sorted.put(row.key, row);
            boolean hasMore = false;
            for (Row row : sorted.tailMap(from).values()) {
                if (to != null && row.key.compareTo(to) >= 0) break;
                if (found.size() == Math.min(limit, 500)) {
                    hasMore = true;
                    break;
                }
                found.add(row.json());
            }
            answer.put("rows", found);
            answer.put("hasMore", hasMore);
            stamp(answer);
        }
        answer(call, 200, answer);
    }

    private void parts(HttpExchange call, Map<String, String> query) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            TreeSet<String> parts = new TreeSet<>();
            for (Row row : rows.values()) if (row.table.equals(query.get("table"))) parts.add(row.part);
            String after = query.get("after");
            answer.put("parts", after == null ? parts : parts.tailSet(after, false));
            answer.put("hasMore", false);
            stamp(answer);
        }
        answer(call, 200, answer);
    }

    private void feed(HttpExchange call, Map<String, String> query) throws IOException, InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            while (true) {
                for (List<Row> each : history.tailMap(after, false).values()) {
                    for (Row row : each) if (row.table.equals(table)) found.add(row.json());
                }
                long millis = (until - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || millis <= 0) break;
                wait(millis);
            }
            answer.put("rows", found);
            stamp(answer);
        }
        answer(call, 200, answer);
    }

    private void blob(HttpExchange call, String path, Map<String, String> query, byte[] body) throws IOException {
        String id = path.substring(path.lastIndexOf('/') + 1);
        synchronized (this) {
            if (path.startsWith("/-/blob-put/")) {
                boolean isTaken = blobs.containsKey(id) && call.getRequestHeaders().containsKey("If-None-Match");
                if (!isTaken) blobs.put(id, body);
                answer(call, isTaken ? 412 : 200, Map.of());
            } else if (path.startsWith("/-/blob-get/")) {
                byte[] found = blobs.get(id);
                call.sendResponseHeaders(found == null ? 404 : 200, found == null || found.length == 0 ? -1 : found.length);
                if (found != null) call.getResponseBody().write(found);
            } else if (path.startsWith("/-/blob-drop/")) {
                blobs.remove(id);
                answer(call, 200, Map.of());
            } else {
                String prefix = query.getOrDefault("prefix", "");
                List<String> names = blobs.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
                answer(call, 200, Map.of("names", names, "hasMore", false));
            }
        }
    }

    private static void answer(HttpExchange call, int status, Object json) throws IOException {
        byte[] bytes = Json.write(json).getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw == null) return result;
        for (String each : raw.split("&")) {
            String[] sides = each.split("=", 2);
            result.put(URLDecoder.decode(sides[0], StandardCharsets.UTF_8),
                sides.length < 2 ? "" : URLDecoder.decode(sides[1], StandardCharsets.UTF_8));
        }
        return result;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
