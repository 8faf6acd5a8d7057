import java.io.IOException;
import java.nio.file.Path;

/**
 * A client of a public route has a transaction open when the operator gives its key to another tenant. Later statements
 * must not reach a backend in the name of the tenant that held the key before.
 */
final class PublicRoute {
  private static final int STATEMENTS = 8;

  public static void main(String[] arguments) throws IOException {
    Rig rig = new Rig(Path.of(arguments[0]));
    if (!rig.start(3, config(1, "club", "guild"))) rig.exit(2, "the machines did not get ready");
    Host host = rig.hosts.get(0);
    int foreign = 0;
    int good = 0;
    try (Client client = new Client(host, "print", "key-1", 0)) {
      query(rig, client, "BEGIN");
      query(rig, client, "WRITE item first");
      if (rig.hasTrouble) {
        rig.store.put("op", "config", config(2, "guild", "club"));
        rig.record.line("version 2 is acknowledged: key-1 is guild's, no longer club's");
      }
      long acknowledgedMillis = rig.record.millis();
      for (int i = 0; i < STATEMENTS; i++) {
        Threads.sleep(1_000);
        boolean isLate = rig.record.millis() > acknowledgedMillis + 3_000;
        Client.Answer answer = query(rig, client, "WRITE item " + i);
        if (answer.isSuccess()) good++;
        String tenant = rig.group.tenantOf.get(answer.id());
        if (tenant != null && rig.hasTrouble && isLate && !tenant.equals("guild")) foreign++;
      }
      query(rig, client, "COMMIT");
    }
    if (foreign == 0) rig.exit(0, "held: " + good + " statements ran, none in the name of a tenant without the key");
    rig.exit(1, "UNASKED: " + foreign + " statements ran in the name of club, whose key it was no longer");
  }

  private static Client.Answer query(Rig rig, Client client, String text) {
    String id = Client.nextId();
    rig.record.line("client sends " + id + " " + text);
    Client.Answer answer = client.query(id, text, 3_000);
    rig.record.line("client gets " + id + " " + answer.code() + " " + answer.text() + " " + answer.state() + ", run for "
        + rig.group.tenantOf.get(id));
    return answer;
  }

  private static String config(int version, String holder, String other) {
    return Rig.config(version, 0, 1_000)
        .replace("\"public\":false", "\"public\":true")
        .replace("{\"name\":\"club\",\"apiKeys\":[\"key-of-club\"]", "{\"name\":\"" + other
            + "\",\"apiKeys\":[\"key-2\"],\"prio\":1,\"opsPerS\":400,\"burst\":400},{\"name\":\"" + holder
            + "\",\"apiKeys\":[\"key-1\"]");
  }
}
