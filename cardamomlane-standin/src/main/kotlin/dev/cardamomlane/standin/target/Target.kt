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

/** One target: its state, its data, its sessions and its faults. Safe for use by several threads. */
internal class Target(val settings: TargetSettings, val group: DatabaseGroup) : AutoCloseable {
    val name: String = settings.name
    val faults = TargetFaults(lagMillis = group.settings.lagMillis)
    val slots = SlotPool(name, settings.slots)
    val state = TargetState(name)
    val sessions: MutableSet<TargetSession> = ConcurrentHashMap.newKeySet()
    private val pending = PendingConfirmations()
    private val replication = ReplicationLoop(this)

    // A definition holds it for writing, so that no commit comes between the definition's effect and its log record.
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

    /** Runs [statements] as the first transactions of the group. */
    fun initialize(statements: List<String>) {
        engine.connect().use { connection ->
            connection.autoCommit = false
            val capture = ChangeCapture()
            for (sql in statements) {
                if (sql.trimStart().startsWith("INSERT", ignoreCase = true)) {
                    capture.captureDuring { connection.createStatement().use { it.execute(sql) } }
                    check(commit(connection, capture) == CommitOutcome.COMMITTED) { "initial statement refused: $sql" }
                } else {
                    check(runDdl(connection, sql)) { "initial statement refused: $sql" }
                }
            }
        }
    }

    fun fence(term: Long, claimant: String): Boolean = applyAndHandleDemotion { state.fence(term, claimant) }

    fun follow(term: Long, primary: String): Boolean {
        requireNotNull(group.find(primary)) { "target \"$primary\" is not in group ${group.settings.name}" }
        return applyAndHandleDemotion { state.follow(term, primary) }
    }

    /** Promotes this target and waits until it has applied its log. Returns the start of the term, or null. */
    fun promote(term: Long, claimant: String): LogPosition? {
        val start = group.locked { state.promote(term, claimant) } ?: return null
        Logger.info("target: {} is primary of term {} from {}", name, term, start)
        group.wakeReplicas()
        replication.awaitWritable(PROMOTE_TIMEOUT_MILLIS)
        return start
    }

    /** Commits what [capture] holds and appends it to the log, or rolls back. */
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

    /** Runs a definition and appends it to the log. Returns false if this target may no longer write. */
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

    /** Asks whether a majority holds the log as it ends now. */
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

    /** Notes under the group's lock what [peer] holds. Run the result after the lock is released. */
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

    fun restart() {
        if (!faults.crashed) crash()
        group.locked {
            faults.crashed = false
            state.incarnation++
        }
        group.wakeReplicas()
    }

    /** Announces whether the target is about to leave. */
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
