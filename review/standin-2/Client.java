import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One session of a client. It sends a statement once the one before has its answer. */
final class Client implements Closeable {
  private static final AtomicLong IDS = new AtomicLong();
  private final Socket socket = new Socket();
  private InputStream in;

  /** An answer; {@code code} is DONE or the code of an error, or null when the connection ended before its end. */
  record Answer(String id, String code, String text, String state, long bytes) {
    boolean isWhole() {
      return state != null;
    }

    boolean isSuccess() {
      return "DONE".equals(code) && isWhole();
    }
  }

  static String nextId() {
    return String.format("%016x", IDS.incrementAndGet());
  }

  /** Opens a session. Throws if there is no READY. */
  Client(Host host, String database, String key, int windowBytes) throws IOException {
    try {
      if (windowBytes > 0) socket.setReceiveBufferSize(windowBytes);
      socket.connect(new InetSocketAddress(host.frontIp(), host.frontPort()), 2_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(2_000);
      in = new BufferedInputStream(socket.getInputStream(), 1 << 14);
      send("START " + database + " " + key);
      String line = Backend.readLine(in);
      if (line == null || !line.startsWith("READY")) throw new IOException("not opened: " + line);
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends a statement and reads the answer, which may take up to {@code limitMillis}. */
  Answer query(String id, String text, int limitMillis) {
    return query(id, text, limitMillis, 0);
  }

  /** The same, reading at most {@code bytesPerMillis} if that is above 0. */
  Answer query(String id, String text, int limitMillis, int bytesPerMillis) {
    long bytes = 0;
    String code = null;
    String detail = "";
    try {
      socket.setSoTimeout(limitMillis);
      send("QUERY " + id + " " + text);
      while (true) {
        String line = Backend.readLine(in);
        if (line == null) return new Answer(id, code, "the connection ended", null, bytes);
        bytes += line.length() + 2;
        if (bytesPerMillis > 0) Threads.sleep(line.length() / bytesPerMillis);
        String[] words = line.split(" ", 3);
        switch (words[0]) {
          case "ROW" -> { }
          case "DONE" -> code = "DONE";
          case "ERR" -> {
            code = words[1];
            detail = words.length > 2 ? words[2] : "";
          }
          case "READY" -> {
            return new Answer(id, code, detail, words[1], bytes);
          }
          default -> throw new IOException("unexpected line " + words[0]);
        }
      }
    } catch (IOException e) {
      return new Answer(id, code, String.valueOf(e.getMessage()), null, bytes);
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed all the same.
    }
  }
}
