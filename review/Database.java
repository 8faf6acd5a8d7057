import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One service: a primary and its replicas, with asynchronous replication, as PROTOCOL.md describes them.
 *
 * All state is guarded by this object.
 */
final class Database {
    /** One commit in a log. It can be read at a replica from then on, when its age exceeds the replica's lag. */
    record Commit(long term, long number, String statement, long atNanos) { }

    /** A promotion that has taken effect. */
    record Promotion(double seconds, String target, long term) { }

    final String service;
    final long promoteMillis;
    final long lagMillis;
    final int maxConnections;
    final Recorder record;
    final List<Backend> backends = new ArrayList<>();
    final List<Promotion> promotions = new ArrayList<>();

    /** Statements whose commit was made at a backend after another one had been promoted. */
    final List<String> lateCommits = new ArrayList<>();

    /** The callers' statements that a backend has begun to run. */
    final Set<String> begun = ConcurrentHashMap.newKeySet();
    private long newestTerm = 1;

    Database(String service, Site site, Recorder record) {
        this.service = service;
        promoteMillis = site.promoteMillis();
        lagMillis = site.lagMillis();
        maxConnections = site.maxConnections();
        this.record = record;
    }

    synchronized Backend byId(String id) {
        for (Backend backend : backends) if (backend.id.equals(id)) return backend;
        return null;
    }

    /** The primary of the newest term that runs, or null. */
    synchronized Backend primary() {
        Backend newest = null;
        for (Backend backend : backends) {
            boolean isNewer = newest == null || backend.term > newest.term;
            if (backend.isRunning && backend.isPrimary && isNewer) newest = backend;
        }
        return newest;
    }

    /** Appends a commit at [backend], and sends it to the replicas that follow it. Returns false at a replica. */
    synchronized boolean commit(Backend backend, String statement) {
        if (!backend.isPrimary || !backend.isRunning) return false;
        Commit commit = new Commit(backend.term, backend.log.size() + 1, statement, System.nanoTime());
        backend.log.add(commit);
        boolean isLate = backend.term < newestTerm;
        record.line("commit %s at %s position %d.%d%s", statement, backend.id, commit.term, commit.number,
            isLate ? " although another backend has been promoted" : "");
        if (isLate) {
            lateCommits.add(statement);
            return true;
        }
        for (Backend replica : backends) if (replica != backend && replica.follows(backend)) replica.log.add(commit);
        return true;
    }

    /** Orders that the backend [id] takes over. Returns the HTTP status. */
    synchronized int promote(String id) {
        Backend target = byId(id);
        if (target == null || !target.isRunning) return 409;
        if (target.isPrimary && target.term == newestTerm) return 200;
        Background.after(promoteMillis, () -> takeOver(target));
        return 200;
    }

    private synchronized void takeOver(Backend target) {
        if (!target.isRunning || (target.isPrimary && target.term == newestTerm)) return;
        newestTerm++;
        target.term = newestTerm;
        target.isPrimary = true;
        promotions.add(new Promotion(record.seconds(), target.id, newestTerm));
        record.line("promotion of %s takes effect, term %d, log %s", target.id, newestTerm, target.position());
        for (Backend other : backends) {
            if (other == target || !other.isRunning) continue;
            if (other.isPrimary) Background.after(1_000, () -> stepDown(other, target));
            else other.follow(target);
        }
        target.reportSoon();
    }

    /** An old primary that can reach the new one becomes its replica. */
    private synchronized void stepDown(Backend old, Backend newer) {
        if (!old.isRunning || !old.isPrimary || old.term >= newestTerm) return;
        record.line("%s becomes a replica", old.id);
        old.isPrimary = false;
        Backend leader = primary();
        if (leader != null) old.follow(leader);
        old.reportSoon();
    }

    /** Makes [backend] a replica if it is a primary of a term below [term]. */
    synchronized void demote(Backend backend, long term) {
        if (backend.isPrimary && backend.term < term) stepDown(backend, primary());
    }

    /** The backend starts again with the log that it had, as a replica if another one was promoted meanwhile. */
    synchronized void onRestart(Backend backend) {
        Backend leader = primary();
        if (backend.isPrimary && backend.term == newestTerm) return;
        backend.isPrimary = false;
        if (leader != null) backend.follow(leader);
    }

    synchronized boolean isNewestPrimary(Backend backend) {
        return backend.isPrimary && backend.term == newestTerm;
    }
}
