import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;

/** The platform's call that promotes a backend. It does not check the fence, but notes what arrives. */
final class Cloud {
    /** One call as it arrived. */
    record Call(String service, String target, String holder, long fence) { }

    private final Recorder record;
    private final List<Database> databases;
    private volatile long slowUntilNanos = System.nanoTime();
    private volatile long delayMillis;

    /** Called after each call was performed and before its answer. */
    volatile Consumer<Call> onCall = call -> { };

    Cloud(String address, int port, List<Database> databases, Recorder record, ExecutorService threads)
        throws IOException {
        this.databases = databases;
        this.record = record;
        HttpServer server = HttpServer.create(new InetSocketAddress(address, port), 128);
        server.setExecutor(threads);
        server.createContext("/promote", this::promote);
        server.start();
    }

    private void promote(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, Object> body = Json.object(
                Json.parse(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)));
            String holder = exchange.getRequestHeaders().getFirst("X-Lease-Holder");
            long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
            String service = (String) body.get("service");
            String target = (String) body.get("id");
            boolean isSlow = System.nanoTime() < slowUntilNanos;
            record.line("promote arrives: service %s target %s holder %s fence %d%s", service, target, holder, fence,
                isSlow ? ", performed late" : "");
            if (isSlow) Background.sleep(delayMillis);
            int status = 409;
            for (Database database : databases) {
                if (database.service.equals(service)) status = database.promote(target);
            }
            record.line("promote of %s under fence %d is performed, answer %d", target, fence, status);
            onCall.accept(new Call(service, target, holder, fence));
            exchange.sendResponseHeaders(status, -1);
        }
    }

    /** For [periodMillis], performs and answers each call that arrives only [callMillis] later. */
    void beSlow(long periodMillis, long callMillis) {
        record.line("the promote call is slow for %d ms", periodMillis);
        delayMillis = callMillis;
        slowUntilNanos = System.nanoTime() + periodMillis * 1_000_000;
    }
}
