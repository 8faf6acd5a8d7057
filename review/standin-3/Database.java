import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * One backend of a service. It keeps one log for its whole service, as if replicas were never behind, and answers as
 * the page tells. A read answers the rows that [rows] gives.
 */
final class Database {
    final String service, id, zone;
    final InetSocketAddress address;
    private final Recorder record;
    private final ServerSocket listener;
    private final Group group;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean isEnded;

    /** What the backends of a service share: its log, and who leads. */
    static final class Group {
        final List<Database> databases = new CopyOnWriteArrayList<>();
        volatile Database primary;
        final AtomicLong term = new AtomicLong(3), number = new AtomicLong(100);
        /** The rows that a read of an item answers. */
        volatile java.util.function.Function<String, List<String>> rows = item -> List.of("v" + item);

        String position() {
            return term.get() + "." + number.get();
        }
    }

    Database(Recorder record, Group group, String service, String id, String zone, InetSocketAddress address)
        throws IOException {
        this.record = record;
        this.group = group;
        this.service = service;
        this.id = id;
        this.zone = zone;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 200);
        this.address = (InetSocketAddress) listener.getLocalSocketAddress();
        group.databases.add(this);
        Threads.start("database " + id, () -> {
            while (!isEnded) {
                Socket socket = listener.accept();
                Threads.start("connection of " + id, () -> serve(socket));
            }
        });
    }

    Map<String, Object> entry(long seq) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("service", service);
        map.put("addr", address.getHostString() + ":" + address.getPort());
        map.put("zone", zone);
        map.put("version", "v1");
        map.put("slots", 5);
        map.put("state", "ready");
        map.put("warmupMs", 0);
        map.put("dbRole", role());
        map.put("seq", seq);
        map.put("born", 1_700_000_000_000L);
        return map;
    }

    private String role() {
        return group.primary == this ? "primary" : "replica";
    }

    private void serve(Socket socket) throws IOException {
        connections.incrementAndGet();
        try (socket) {
            socket.setTcpNoDelay(true);
            Lines in = new Lines(socket.getInputStream(), 8192);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
            String first = in.next();
            if (first == null) return;
            if (first.startsWith("GET ")) {
                while (!in.next().isEmpty()) { }
                out.write(("HTTP/1.1 200 OK\r\nX-Instance: " + id + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    .getBytes());
                out.flush();
                return;
            }
            String[] start = first.split(" ");
            if (!start[0].equals("START") || !start[1].equals(service) || start.length > 3 && !start[3].equals(id)) {
                out.write(Lines.bytes("ERR WRONGNODE " + id));
                out.flush();
                return;
            }
            out.write(Lines.bytes("READY I " + group.position()));
            out.flush();
            new Session(start.length > 2 ? start[2] : "-", in, out).run();
        } finally {
            connections.decrementAndGet();
        }
    }

    private final class Session {
        private final String tenant;
        private final Lines in;
        private final OutputStream out;
        private final Map<String, String> prepared = new HashMap<>();
        private String state = "I";
        private boolean hasWritten;

        Session(String tenant, Lines in, OutputStream out) {
            this.tenant = tenant;
            this.in = in;
            this.out = out;
        }

        void run() throws IOException {
            for (String line = in.next(); line != null && !line.equals("QUIT"); line = in.next()) {
                String[] words = line.split(" ", 3);
                String text = words[2];
                if (text.startsWith("AFTER ")) text = text.split(" ", 3)[2];
                answer(words[1], text);
                out.flush();
            }
        }

        private void answer(String id, String text) throws IOException {
            String[] words = text.split(" ", 4);
            switch (words[0]) {
                case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> {
                    send("ROW " + role() + " " + group.term + " " + group.position() + " " + group.term + " 0 0 "
                        + connections);
                    done("-");
                }
                case "RESET" -> {
                    prepared.clear();
                    done("-");
                }
                case "SET" -> done("-");
                case "PREPARE" -> {
                    prepared.put(words[1], words[2]);
                    done("-");
                }
                case "CLOSE" -> {
                    prepared.remove(words[1]);
                    done("-");
                }
                case "BEGIN" -> {
                    if (words.length == 1 && group.primary != Database.this) {
                        error("READONLY", "replica");
                    } else {
                        state = "T";
                        hasWritten = false;
                        done("-");
                    }
                }
                case "ROLLBACK" -> {
                    state = "I";
                    done("-");
                }
                case "COMMIT" -> {
                    if (hasWritten) group.number.incrementAndGet();
                    state = "I";
                    record.line("%s runs COMMIT, id %s, tenant %s", Database.this.id, id, tenant);
                    done(digest(id));
                }
                case "READ" -> read(id, words[1]);
                case "WRITE" -> write(id);
                case "EXEC" -> {
                    String kind = prepared.get(words[1]);
                    if (kind == null) error("NOSTMT", words[1]);
                    else if (kind.equals("READ")) read(id, words[2]);
                    else write(id);
                }
                default -> error("MALFORMED", words[0]);
            }
        }

        private void read(String id, String item) throws IOException {
            List<String> rows = group.rows.apply(item);
            record.line("%s runs READ %s, id %s, tenant %s", Database.this.id, item, id, tenant);
            for (String row : rows) send("ROW " + row);
            done(digest(id));
        }

        private void write(String id) throws IOException {
            if (group.primary != Database.this) {
                error("READONLY", "replica");
                return;
            }
            record.line("%s runs WRITE, id %s, tenant %s", Database.this.id, id, tenant);
            if (state.equals("I")) group.number.incrementAndGet();
            else hasWritten = true;
            done(digest(id));
        }

        private String digest(String id) {
            return "7." + Integer.toHexString(id.hashCode()) + "." + Database.this.id;
        }

        private void done(String digest) throws IOException {
            send("DONE " + digest);
            send("READY " + state + " " + group.position());
        }

        private void error(String code, String text) throws IOException {
            if (state.equals("T")) state = "E";
            send("ERR " + code + " " + text);
            send("READY " + state + " " + group.position());
        }

        private void send(String line) throws IOException {
            out.write(Lines.bytes(line));
        }
    }
}
