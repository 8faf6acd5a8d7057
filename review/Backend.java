import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One database server that speaks the line protocol and registers itself in the store.
 *
 * Its log is guarded by its {@link Database}.
 */
final class Backend {
    private static final long BEAT_MILLIS = 1_200;
    private static final long HANDSHAKE_MILLIS = 12;
    final String id;
    final Database database;
    final List<Database.Commit> log = new ArrayList<>();
    boolean isPrimary;
    volatile boolean isRunning;
    long term = 1;

    private final String address;
    private final int port;
    private final String zone;
    private final Store store;
    private final Recorder record;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger digests = new AtomicInteger();
    private volatile boolean isDraining;
    private volatile long statementMillis = 11;
    private ServerSocket listener;
    private int startCount;
    private long bornMillis;
    private long sequence;

    Backend(String id, Database database, String address, int port, String zone, Store store, boolean isPrimary) {
        this.id = id;
        this.database = database;
        this.address = address;
        this.port = port;
        this.zone = zone;
        this.store = store;
        this.record = database.record;
        this.isPrimary = isPrimary;
        database.backends.add(this);
    }

    /** How long each read, write and commit takes. */
    void setStatementMillis(long millis) {
        statementMillis = millis;
    }

    synchronized void start() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(address, port));
        bornMillis = System.currentTimeMillis();
        sequence = 0;
        isDraining = false;
        isRunning = true;
        int start = ++startCount;
        ServerSocket accepting = listener;
        database.onRestart(this);
        Background.THREADS.execute(() -> acceptAll(accepting));
        Background.THREADS.execute(() -> {
            while (isRunning && start == startCount) {
                report();
                Background.sleep(BEAT_MILLIS);
            }
        });
    }

    /** Ends at once, like a process that is killed. Its entry is removed after three intervals of silence. */
    synchronized void crash() {
        record.line("backend %s crashes", id);
        isRunning = false;
        int crashed = startCount;
        try {
            listener.close();
        } catch (IOException e) {
            record.line("backend %s: %s", id, e);
        }
        for (Socket socket : sockets) close(socket);
        Background.after(3 * BEAT_MILLIS, () -> {
            if (!isRunning && startCount == crashed) store.drop("servers", id);
        });
    }

    /** Reports that it will leave; it goes on serving. */
    void drain() {
        record.line("backend %s reports that it is draining", id);
        isDraining = true;
        report();
    }

    void reportSoon() {
        Background.THREADS.execute(this::report);
    }

    private synchronized void report() {
        if (!isRunning) return;
        boolean isPrimaryNow;
        synchronized (database) {
            isPrimaryNow = isPrimary;
        }
        store.write("servers", id, Json.of("service", database.service, "addr", address + ":" + port, "zone", zone,
            "version", "v1", "slots", 5, "state", isDraining ? "draining" : "ready", "warmupMs", 0,
            "dbRole", isPrimaryNow ? "primary" : "replica", "seq", ++sequence, "born", bornMillis));
    }

    /** True when this is a running replica that receives the log of [leader]. */
    boolean follows(Backend leader) {
        return isRunning && !isPrimary && term == leader.term;
    }

    /** Replaces what differs from the log of [leader], and receives it from now on. */
    void follow(Backend leader) {
        int common = 0;
        int longest = Math.min(log.size(), leader.log.size());
        while (common < longest && log.get(common) == leader.log.get(common)) common++;
        for (Database.Commit lost : log.subList(common, log.size())) {
            record.line("commit %s position %d.%d at %s is rolled back",
                lost.statement(), lost.term(), lost.number(), id);
        }
        log.subList(common, log.size()).clear();
        log.addAll(leader.log.subList(common, leader.log.size()));
        term = leader.term;
    }

    String position() {
        return term + "." + log.size();
    }

    /** How many commits of the log can be read: all at a primary, those older than the lag at a replica. */
    private long applied() {
        if (isPrimary) return log.size();
        long beforeNanos = System.nanoTime() - database.lagMillis * 1_000_000;
        int count = log.size();
        while (count > 0 && log.get(count - 1).atNanos() > beforeNanos) count--;
        return count;
    }

    private void acceptAll(ServerSocket accepting) {
        while (!accepting.isClosed()) {
            try {
                Socket socket = accepting.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Background.THREADS.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            new Connection(socket).run();
        } catch (IOException e) {
            // The other end has closed the connection, which rolls an open transaction back.
        } finally {
            sockets.remove(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    /** One connection: its session values, prepared statements and transaction. */
    private final class Connection {
        private final BufferedReader in;
        private final OutputStream out;
        private final Map<String, Boolean> isWriteByName = new HashMap<>();
        private final List<String> writes = new ArrayList<>();
        private char state = 'I';
        private boolean isReadOnly;
        private long transactionTerm;

        Connection(Socket socket) throws IOException {
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            out = socket.getOutputStream();
        }

        void run() throws IOException {
            String line = in.readLine();
            if (line == null) return;
            String[] words = line.split(" ");
            boolean isExpected = words.length < 4 || words[3].equals(id);
            if (words.length < 3 || !words[0].equals("START") || !words[1].equals(database.service) || !isExpected) {
                send("ERR WRONGNODE " + id + "\r\n");
                return;
            }
            if (sockets.size() > database.maxConnections) {
                send("ERR TOOMANY " + id + "\r\n");
                return;
            }
            Background.sleep(HANDSHAKE_MILLIS);
            send("READY I " + appliedPosition() + "\r\n");
            for (line = in.readLine(); line != null && !line.equals("QUIT"); line = in.readLine()) query(line);
        }

        private String appliedPosition() {
            synchronized (database) {
                return term + "." + applied();
            }
        }

        private void query(String line) throws IOException {
            String[] words = line.split(" ", 3);
            String statementId = words[1];
            String text = words[2];
            if (!statementId.equals("-")) database.begun.add(statementId);
            boolean isLagging = false;
            if (text.startsWith("AFTER ")) {
                String[] parts = text.split(" ", 3);
                text = parts[2];
                synchronized (database) {
                    String[] position = parts[1].split("\\.");
                    long afterTerm = Long.parseLong(position[0]);
                    isLagging = term < afterTerm || term == afterTerm && applied() < Long.parseLong(position[1]);
                }
            }
            if (isLagging) {
                answer("ERR LAGGING " + id);
            } else {
                run(statementId, text);
            }
        }

        private void run(String statementId, String text) throws IOException {
            String[] words = text.split(" ");
            switch (words[0]) {
                case "BEGIN" -> begin(words.length > 1);
                case "ROLLBACK" -> {
                    endTransaction();
                    answer("DONE -");
                }
                case "COMMIT" -> commit(statementId);
                case "READ" -> read(statementId, words[1]);
                case "WRITE" -> write(statementId, text);
                case "EXEC" -> {
                    Boolean isWrite = isWriteByName.get(words[1]);
                    if (isWrite == null) answer("ERR NOSTMT " + id);
                    else if (isWrite) write(statementId, text);
                    else read(statementId, words[2]);
                }
                case "PREPARE" -> {
                    isWriteByName.put(words[1], words[2].equals("WRITE"));
                    answer("DONE -");
                }
                case "CLOSE" -> {
                    isWriteByName.remove(words[1]);
                    answer("DONE -");
                }
                case "RESET" -> {
                    isWriteByName.clear();
                    answer("DONE -");
                }
                case "SET" -> answer("DONE -");
                case "STATUS" -> status();
                case "DEMOTE" -> {
                    database.demote(Backend.this, Long.parseLong(words[1]));
                    status();
                }
                default -> answer("ERR MALFORMED " + id);
            }
        }

        private void begin(boolean readOnly) throws IOException {
            synchronized (database) {
                transactionTerm = term;
                if (!readOnly && !isPrimary) {
                    answer("ERR READONLY " + id);
                    return;
                }
            }
            isReadOnly = readOnly;
            state = 'T';
            answer("DONE -");
        }

        private boolean hasLostLead() {
            synchronized (database) {
                return state == 'T' && !isReadOnly && !(isPrimary && term == transactionTerm);
            }
        }

        private void read(String statementId, String item) throws IOException {
            if (refuses()) return;
            Background.sleep(statementMillis);
            record.line("run %s READ %s at %s", statementId, item, id);
            answer("ROW data-of-" + item + "\r\nDONE " + digest());
        }

        private void write(String statementId, String text) throws IOException {
            if (refuses()) return;
            if (state == 'T') {
                Background.sleep(statementMillis);
                writes.add(statementId);
                record.line("run %s %s in a transaction at %s", statementId, text, id);
                answer("DONE " + digest());
                return;
            }
            Background.sleep(statementMillis);
            if (database.commit(Backend.this, statementId)) answer("DONE " + digest());
            else answer("ERR READONLY " + id);
        }

        private boolean refuses() throws IOException {
            if (state == 'E') {
                answer("ERR MALFORMED " + id);
                return true;
            }
            if (!hasLostLead()) return false;
            state = 'E';
            answer("ERR READONLY " + id);
            return true;
        }

        private void commit(String statementId) throws IOException {
            if (state != 'T') {
                endTransaction();
                answer("ERR MALFORMED " + id);
                return;
            }
            boolean isLost = hasLostLead();
            Background.sleep(statementMillis);
            boolean isDone = writes.isEmpty() || (!isLost && database.commit(Backend.this, statementId));
            if (isDone) record.line("run %s COMMIT at %s", statementId, id);
            endTransaction();
            answer(isDone ? "DONE " + digest() : "ERR READONLY " + id);
        }

        private void endTransaction() {
            state = 'I';
            isReadOnly = false;
            writes.clear();
        }

        private void status() throws IOException {
            String row;
            synchronized (database) {
                row = "ROW " + (isPrimary ? "primary" : "replica") + " " + term + " " + position() + " 0 "
                    + (isPrimary ? 0 : database.lagMillis) + " 0 " + sockets.size();
            }
            answer(row + "\r\nDONE -");
        }

        private String digest() {
            return id + "." + digests.incrementAndGet();
        }

        private void answer(String lines) throws IOException {
            send(lines + "\r\nREADY " + state + " " + appliedPosition() + "\r\n");
        }

        private void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
