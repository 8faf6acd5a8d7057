package dev.cardamomlane.standin.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.standin.log.RecordBody
import dev.cardamomlane.standin.settings.TargetSettings
import dev.cardamomlane.standin.sql.ChangeCapture
import dev.cardamomlane.standin.sql.SqlEngine
import kotlinx.collections.immutable.toImmutableList
import org.tinylog.kotlin.Logger
import java.sql.Connection
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantReadWriteLock
import kotlin.concurrent.read
import kotlin.concurrent.write

/** One emulated target: its state, data, sessions and injected faults. Safe for use by several threads. */
internal class Target(val settings: TargetSettings, val group: DatabaseGroup) : AutoCloseable {
    val name: String = settings.name
    val faults = TargetFaults(lagMillis = group.settings.lagMillis)
    val slots = SlotPool(name, settings.slots)
    val state = TargetState(name)
    val sessions: MutableSet<TargetSession> = ConcurrentHashMap.newKeySet()
    private val pending = PendingConfirmations()
    private val replication = ReplicationLoop(this)

    // A DDL statement holds the write lock, so that no commit comes between its effect and its log record.
    private val ddlLock = ReentrantReadWriteLock()

    @Volatile
    var engine: SqlEngine = SqlEngine(name)

    val status: TargetStatus get() = group.locked { state.status() }

    /** Whether a commit would succeed now. */
    val writable: Boolean get() = group.locked { isWritable() }

    val rebuilding: Boolean get() = replication.rebuilding

    fun start() {
        replication.start()
    }

    fun wake() {
        replication.wake()
    }

    /** Runs each of [statements] as a transaction of its own. Called once on the first primary of the group. */
    fun initialize(statements: List<String>) {
        engine.connect().use { connection ->
            connection.autoCommit = false
            val capture = ChangeCapture()
            for (sql in statements) {
                if (sql.trimStart().startsWith("INSERT", ignoreCase = true)) {
                    capture.captureDuring { connection.createStatement().use { it.execute(sql) } }
                    check(commit(connection, capture) == CommitOutcome.COMMITTED) { "initial statement failed: $sql" }
                } else {
                    check(runDdl(connection, sql)) { "initial statement failed: $sql" }
                }
            }
        }
    }

    /** See [TargetState.fence]. A demoted primary closes the sessions with uncommitted changes. */
    fun fence(term: Long, claimant: String): Boolean = applyAndHandleDemotion { state.fence(term, claimant) }

    /** See [TargetState.follow]. Throws [IllegalArgumentException] if [primary] is not in this group. */
    fun follow(term: Long, primary: String): Boolean {
        requireNotNull(group.find(primary)) { "target \"$primary\" is not in group ${group.settings.name}" }
        return applyAndHandleDemotion { state.follow(term, primary) }
    }

    /**
     * Promotes this target and blocks until it has applied its log or [PROMOTE_TIMEOUT_MILLIS] have passed.
     *
     * Returns the position of the term's first record, or null if the promotion is refused.
     */
    fun promote(term: Long, claimant: String): LogPosition? {
        val start = group.locked { state.promote(term, claimant) } ?: return null
        Logger.info("target: {} is primary of term {} from {}", name, term, start)
        group.wakeReplicas()
        replication.awaitWritable(PROMOTE_TIMEOUT_MILLIS)
        return start
    }

    /** Commits the transaction of [connection] and appends the changes in [capture] to the log, or rolls back. */
    fun commit(connection: Connection, capture: ChangeCapture): CommitOutcome {
        if (capture.isEmpty()) {
            connection.commit()
            return CommitOutcome.COMMITTED
        }
        val changes = RecordBody.Changes(capture.drain().toImmutableList())
        val committed = ddlLock.read { group.locked { commitAndAppend(connection, changes) } }
        if (!committed) {
            connection.rollback()
            return CommitOutcome.REFUSED
        }
        group.wakeReplicas()
        return if (faults.consumeLostAnswer()) CommitOutcome.ANSWER_LOST else CommitOutcome.COMMITTED
    }

    private fun commitAndAppend(connection: Connection, changes: RecordBody.Changes): Boolean {
        if (!isWritable()) return false
        connection.commit()
        state.append(changes)
        return true
    }

    /**
     * Runs a DDL statement and appends it to the log. Returns false if this target may no longer write.
     *
     * If the target was fenced after the statement ran, its data are rebuilt from the log.
     */
    fun runDdl(connection: Connection, sql: String): Boolean {
        val appended = ddlLock.write {
            if (!writable) return false
            engine.runDdl(connection, sql)
            group.locked { if (isWritable()) state.append(RecordBody.Ddl(sql)) else null }
        }
        if (appended == null) replication.rebuild()
        group.wakeReplicas()
        return appended != null
    }

    /**
     * Asks whether a majority holds the log up to its current end.
     *
     * Completes as not confirmed after [timeoutMillis], and at once if this target may not write.
     */
    fun confirm(timeoutMillis: Long): CompletableFuture<Confirmation> {
        val answer = group.locked {
            val position = state.received
            when {
                !isWritable() -> CompletableFuture.completedFuture(Confirmation(position, confirmed = false))
                isHeldByMajority(position) -> CompletableFuture.completedFuture(Confirmation(position, true))
                else -> pending.add(position)
            }
        }
        return if (answer.isDone) answer else withTimeout(answer, timeoutMillis)
    }

    private fun withTimeout(answer: CompletableFuture<Confirmation>, timeoutMillis: Long) =
        answer.completeOnTimeout(Confirmation(status.received, confirmed = false), timeoutMillis, TimeUnit.MILLISECONDS)
            .also { future -> future.whenComplete { _, _ -> group.locked { pending.remove(answer) } } }

    /**
     * Records the position that [peer] has received. The caller holds the group's lock.
     *
     * Returns a function that completes the confirmed requests; call it after the lock is released.
     */
    fun acknowledge(peer: Target): () -> Unit {
        state.acknowledge(state.fenceTerm, peer.name, peer.state.received)
        return pending.confirm(::isHeldByMajority)
    }

    /** Closes every connection and refuses new ones until [restart]. The log is kept. */
    fun crash() {
        val failPending = group.locked {
            faults.crashed = true
            pending.failAll()
        }
        failPending()
        dropSessions { true }
    }

    /** Ends a crash and increments the incarnation. Crashes the target first if it is running. */
    fun restart() {
        if (!faults.crashed) crash()
        group.locked {
            faults.crashed = false
            state.incarnation++
        }
        group.wakeReplicas()
    }

    /** Sets whether the target reports that it is about to leave. */
    fun setLeaving(value: Boolean) {
        group.locked { state.leaving = value }
    }

    fun dropSessions(select: (TargetSession) -> Boolean) {
        sessions.filter(select).forEach(TargetSession::drop)
    }

    override fun close() {
        replication.close()
        slots.close()
        engine.close()
    }

    /** Runs [change]. A demotion fails pending confirmations and closes sessions with uncommitted changes. */
    private fun applyAndHandleDemotion(change: () -> Boolean): Boolean {
        var failPending: () -> Unit = {}
        val granted = group.locked {
            val wasPrimary = state.role == TargetRole.PRIMARY
            change().also { if (wasPrimary && state.role != TargetRole.PRIMARY) failPending = pending.failAll() }
        }
        failPending()
        if (granted && !writable) dropSessions { it.hasWrites }
        group.wakeReplicas()
        return granted
    }

    private fun isWritable(): Boolean = !faults.crashed && state.writable && replication.engineAcceptsWrites

    private fun isHeldByMajority(position: LogPosition): Boolean = state.countHolders(position) >= group.majority

    private companion object {
        const val PROMOTE_TIMEOUT_MILLIS = 5_000L
    }
}
