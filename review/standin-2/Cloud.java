import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's call that orders promotions. It does not check the fence. */
final class Cloud {
  final String address;

  @SuppressWarnings("unchecked")
  Cloud(String ip, Group group, Record record) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
    server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
    server.createContext("/promote", exchange -> {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String id = (String) ((Map<String, Object>) Json.parse(body)).get("id");
      int status = group.promote(id);
      record.line("promote " + id + " holder " + exchange.getRequestHeaders().getFirst("X-Lease-Holder") + " fence "
          + exchange.getRequestHeaders().getFirst("X-Fence-Token") + " answered " + status);
      exchange.sendResponseHeaders(status, -1);
      exchange.close();
    });
    server.start();
    address = ip + ":" + server.getAddress().getPort();
  }
}
