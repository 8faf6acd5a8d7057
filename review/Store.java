import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/** The platform's metadata store: rows, transactions and the feed of changes, as PROTOCOL.md describes them. */
final class Store {
    private static final long ANSWER_MILLIS = 4;
    private static final int MAX_HISTORY = 100_000;
    private final TreeMap<String, Map<String, Object>> rows = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private long version = 1;

    Store(String address, int port, ExecutorService threads) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(address, port), 128);
        server.setExecutor(threads);
        server.createContext("/-/rows-tx", exchange -> handle(exchange, this::transaction));
        server.createContext("/-/rows-get", exchange -> handle(exchange, this::get));
        server.createContext("/-/rows-feed", exchange -> handle(exchange, this::feed));
        server.start();
    }

    private interface Handler {
        Answer answer(Map<String, String> query, String body) throws Exception;
    }

    private record Answer(int status, Object body) { }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Answer answer;
            try {
                Thread.sleep(ANSWER_MILLIS);
                answer = handler.answer(query(exchange), body);
            } catch (Exception e) {
                answer = new Answer(400, Json.of("error", String.valueOf(e)));
            }
            byte[] bytes = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Store-Era", "1");
            exchange.sendResponseHeaders(answer.status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return query;
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals < 0) continue;
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static String name(Map<String, Object> row) {
        Object part = row.get("part");
        return row.get("table") + "\0" + (part == null ? "" : part) + "\0" + row.get("key");
    }

    private synchronized Answer transaction(Map<String, String> query, String body) {
        Map<String, Object> call = Json.object(Json.parse(body));
        List<Object> found = new ArrayList<>();
        boolean isMet = true;
        for (Object item : Json.list(call.get("precondition"))) {
            Map<String, Object> expected = Json.object(item);
            Map<String, Object> row = rows.get(name(expected));
            long has = row == null ? 0 : (Long) row.get("ver");
            if (row != null) found.add(row);
            isMet &= has == (Long) expected.get("ver");
        }
        if (!isMet) return new Answer(412, Json.of("rows", found, "ver", version, "nowMs", nowMillis()));
        version++;
        for (Object item : Json.list(call.get("upserts"))) put(Json.object(item));
        for (Object item : Json.list(call.get("remove"))) remove(Json.object(item));
        notifyAll();
        return new Answer(200, Json.of("ver", version, "nowMs", nowMillis()));
    }

    private void put(Map<String, Object> row) {
        Map<String, Object> stored = new LinkedHashMap<>(row);
        stored.putIfAbsent("part", "");
        stored.put("ver", version);
        rows.put(name(stored), stored);
        addToHistory(stored);
    }

    private void remove(Map<String, Object> row) {
        Map<String, Object> stored = rows.remove(name(row));
        if (stored == null) return;
        addToHistory(Json.of("table", stored.get("table"), "part", stored.get("part"), "key", stored.get("key"),
            "ver", version, "tombstone", true));
    }

    private void addToHistory(Map<String, Object> row) {
        history.add(row);
        if (history.size() > MAX_HISTORY) throw new IllegalStateException("the history is too long for this stand-in");
    }

    /** A write of the operator or of a backend. Returns once it is stored, which acknowledges it. */
    synchronized void write(String table, String key, Object value) {
        version++;
        String text = Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        put(Json.of("table", table, "part", "", "key", key, "value", text));
        notifyAll();
    }

    synchronized void drop(String table, String key) {
        version++;
        remove(Json.of("table", table, "part", "", "key", key));
        notifyAll();
    }

    private synchronized Answer get(Map<String, String> query, String body) {
        String prefix = query.get("table") + "\0" + query.getOrDefault("part", "") + "\0";
        String from = prefix + query.getOrDefault("from", "");
        List<Object> found = new ArrayList<>();
        for (Map.Entry<String, Map<String, Object>> entry : rows.tailMap(from).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            found.add(entry.getValue());
        }
        return new Answer(200, Json.of("rows", found, "hasMore", false, "ver", version, "nowMs", nowMillis()));
    }

    private synchronized Answer feed(Map<String, String> query, String body) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long endMillis = nowMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<Object> changed = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && (Long) history.get(i).get("ver") > after; i--) {
                if (history.get(i).get("table").equals(query.get("table"))) changed.add(0, history.get(i));
            }
            long leftMillis = endMillis - nowMillis();
            if (!changed.isEmpty() || leftMillis <= 0) {
                return new Answer(200, Json.of("rows", changed, "ver", version, "nowMs", nowMillis()));
            }
            wait(leftMillis);
        }
    }
}
