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
    /** How long a connection may be idle; idle_close_ms of the site file. */
    private static final int IDLE_CLOSE_MILLIS = 60_000;
    private static final int SLOTS = 5, PROMOTE_MILLIS = 300;

    final String service, id, zone;
    final InetSocketAddress address;
    private final Recorder record;
    private volatile ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Group group;
    private final AtomicInteger connections = new AtomicInteger();
    volatile boolean isDown;
    /** How long after a commit a replica applies it. */
    volatile long lagMillis = 8;
    /** Which part of the answers to requests that it has run is lost. The connection goes on. */
    volatile double lostAnswers;
    private final AtomicInteger lost = new AtomicInteger();
    /** How long a read and a write take in one of the slots. */
    volatile long readMillis, writeMillis;
    private final Semaphore slots = new Semaphore(SLOTS, true);

    /** What the backends of a service share: its log, and who leads. */
    static final class Group {
        final List<Database> databases = new CopyOnWriteArrayList<>();
        volatile Database primary;
        final AtomicLong term = new AtomicLong(3);
        private final List<Commit> log = new ArrayList<>();

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
        this.address = listen(address);
        group.databases.add(this);
    }

    private InetSocketAddress listen(InetSocketAddress at) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(at, 200);
        listener = opened;
        Threads.start("database " + id, () -> {
            while (true) {
                Socket socket = opened.accept();
                Threads.start("connection of " + id, () -> serve(socket));
            }
        });
        return (InetSocketAddress) opened.getLocalSocketAddress();
    }

    /** Ends the backend at once: its port refuses connections, and open ones are closed. */
    void crash() throws IOException {
        record.line("%s crashes", id);
        isDown = true;
        listener.close();
        for (Socket socket : sockets) socket.close();
    }

    /** Starts the backend again, with its log. */
    void restart() throws IOException {
        listen(address);
        isDown = false;
        record.line("%s runs again, as %s", id, role());
    }

    /** How many answers were lost so far. */
    int lostCount() {
        return lost.get();
    }

    Map<String, Object> entry(long seq) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("service", service);
        map.put("addr", address.getHostString() + ":" + address.getPort());
        map.put("zone", zone);
        map.put("version", "v1");
        map.put("slots", SLOTS);
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

    /** Makes this backend the primary of the next term, some hundred ms after the call that asks for it. */
    void promote() throws InterruptedException {
        Thread.sleep(PROMOTE_MILLIS);
        if (isDown || group.primary == this) return;
        group.primary = this;
        record.line("%s leads term %d", id, group.term.incrementAndGet());
    }

    String role() {
        return group.primary == this ? "primary" : "replica";
    }

    private void serve(Socket socket) throws IOException {
        connections.incrementAndGet();
        sockets.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_CLOSE_MILLIS);
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
            sockets.remove(socket);
            connections.decrementAndGet();
        }
    }

    private final class Session {
        private final String tenant;
        private final Lines in;
        private final OutputStream out;
        private final Map<String, String> prepared = new HashMap<>();
        private String state = "I";
        private boolean isAnswerLost;
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
                isAnswerLost = false;
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
                    loseSome(id);
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
            work(readMillis);
            long number = applied();
            record.line("%s runs READ %s, id %s, tenant %s, log at %d.%d", Database.this.id, item, id, tenant,
                group.term.get(), number);
            loseSome(id);
            send("ROW " + group.value(item, number));
            done(digest(id));
        }

        private void work(long millis) {
            if (millis == 0) return;
            slots.acquireUninterruptibly();
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                slots.release();
            }
        }

        private void loseSome(String id) {
            if (ThreadLocalRandom.current().nextDouble() >= lostAnswers) return;
            isAnswerLost = true;
            lost.incrementAndGet();
            record.line("%s loses its answer to %s", Database.this.id, id);
        }

        private void write(String id, String item, String data) throws IOException {
            if (group.primary != Database.this) {
                error("READONLY", "replica");
                return;
            }
            work(writeMillis);
            if (state.equals("I")) group.append(Map.of(item, data));
            else writes.put(item, data);
            record.line("%s runs WRITE %s, id %s, tenant %s, log at %s", Database.this.id, item, id, tenant, position());
            loseSome(id);
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
            if (!isAnswerLost) out.write(Lines.bytes(line));
        }
    }
}
