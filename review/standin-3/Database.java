import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * One backend of a service, which answers as the page tells. All backends of a service share one log, of which a
 * replica has applied what is older than its lag.
 */
final class Database {
    final String service, id, zone;
    final InetSocketAddress address;
    private final Recorder record;
    private final ServerSocket listener;
    private final Group group;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean isEnded;
    /** How long after a commit a replica applies it. */
    volatile long lagMillis = 8;

    /** What the backends of a service share: its log, and who leads. */
    static final class Group {
        final List<Database> databases = new CopyOnWriteArrayList<>();
        volatile Database primary;
        final AtomicLong term = new AtomicLong(3);
        private final List<Commit> log = new ArrayList<>();
        /** The rows that a read of an item answers in place of the item's value, or null. */
        volatile java.util.function.Function<String, List<String>> rows;

        synchronized long append(Map<String, String> writes) {
            log.add(new Commit(System.nanoTime(), Map.copyOf(writes)));
            return FIRST + log.size();
        }

        /** The number of the last commit that was made [lagMillis] ago or earlier. */
        synchronized long applied(long lagMillis) {
            long until = System.nanoTime() - lagMillis * 1_000_000;
            int count = log.size();
            while (count > 0 && log.get(count - 1).nanos > until) count--;
            return FIRST + count;
        }

        /** The value of [item] after the commit [number]. */
        synchronized String value(String item, long number) {
            for (int i = (int) (number - FIRST) - 1; i >= 0; i--) {
                String value = log.get(i).writes.get(item);
                if (value != null) return value;
            }
            return "none";
        }

        private static final long FIRST = 100;

        private record Commit(long nanos, Map<String, String> writes) {}
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

    /** The number up to which this backend has applied the log. */
    long applied() {
        return group.applied(group.primary == this ? 0 : lagMillis);
    }

    private String position() {
        return group.term.get() + "." + applied();
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
            out.write(Lines.bytes("READY I " + position()));
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
        private final Map<String, String> writes = new HashMap<>();

        Session(String tenant, Lines in, OutputStream out) {
            this.tenant = tenant;
            this.in = in;
            this.out = out;
        }

        void run() throws IOException {
            for (String line = in.next(); line != null && !line.equals("QUIT"); line = in.next()) {
                String[] words = line.split(" ", 3);
                String text = words[2];
                long after = 0;
                if (text.startsWith("AFTER ")) {
                    after = Long.parseLong(text.split(" ", 3)[1].split("\\.")[1]);
                    text = text.split(" ", 3)[2];
                }
                if (after > applied()) error("LAGGING", position());
                else answer(words[1], text);
                out.flush();
            }
        }

        private void answer(String id, String text) throws IOException {
            String[] words = text.split(" ", 4);
            switch (words[0]) {
                case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> {
                    send("ROW " + role() + " " + group.term + " " + position() + " 0 " + lagMillis + " 0 " + connections);
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
                        writes.clear();
                        done("-");
                    }
                }
                case "ROLLBACK" -> {
                    state = "I";
                    done("-");
                }
                case "COMMIT" -> {
                    if (!writes.isEmpty()) group.append(writes);
                    state = "I";
                    record.line("%s runs COMMIT, id %s, tenant %s, log at %s", Database.this.id, id, tenant, position());
                    done(digest(id));
                }
                case "READ" -> read(id, words[1]);
                case "WRITE" -> write(id, words[1], words[2]);
                case "EXEC" -> {
                    String kind = prepared.get(words[1]);
                    if (kind == null) error("NOSTMT", words[1]);
                    else if (kind.equals("READ")) read(id, words[2]);
                    else write(id, words[2], words.length > 3 ? words[3] : "");
                }
                default -> error("MALFORMED", words[0]);
            }
        }

        private void read(String id, String item) throws IOException {
            long number = applied();
            List<String> rows = group.rows == null ? List.of(group.value(item, number)) : group.rows.apply(item);
            record.line("%s runs READ %s, id %s, tenant %s, log at %d.%d", Database.this.id, item, id, tenant,
                group.term.get(), number);
            for (String row : rows) send("ROW " + row);
            done(digest(id));
        }

        private void write(String id, String item, String data) throws IOException {
            if (group.primary != Database.this) {
                error("READONLY", "replica");
                return;
            }
            if (state.equals("I")) group.append(Map.of(item, data));
            else writes.put(item, data);
            record.line("%s runs WRITE %s, id %s, tenant %s, log at %s", Database.this.id, item, id, tenant, position());
            done(digest(id));
        }

        private String digest(String id) {
            return "7." + Integer.toHexString(id.hashCode()) + "." + Database.this.id;
        }

        private void done(String digest) throws IOException {
            send("DONE " + digest);
            send("READY " + state + " " + position());
        }

        private void error(String code, String text) throws IOException {
            if (state.equals("T")) state = "E";
            send("ERR " + code + " " + text);
            send("READY " + state + " " + position());
        }

        private void send(String line) throws IOException {
            out.write(Lines.bytes(line));
        }
    }
}
