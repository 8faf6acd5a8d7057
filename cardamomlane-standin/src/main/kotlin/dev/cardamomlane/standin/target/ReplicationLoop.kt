package dev.cardamomlane.standin.target

import dev.cardamomlane.standin.sql.SqlEngine
import org.tinylog.kotlin.Logger
import java.sql.SQLException
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/**
 * Receives the primary's log for one target and applies it after the target's replication lag, on its own thread.
 *
 * A replica whose log diverges from the primary's truncates it to the common prefix. If records after that prefix were
 * applied already, the replica rebuilds its data from the prefix and closes all connections but control connections.
 */
internal class ReplicationLoop(private val target: Target) : AutoCloseable {
    private val state = target.state
    private val batches = ArrayDeque<ReceivedBatch>()
    private val wakeLock = ReentrantLock()
    private val wakeCondition = wakeLock.newCondition()
    private var hasWork = false
    private var failures = 0

    @Volatile
    private var closed = false

    @Volatile
    private var mustRebuild = false

    /** Whether the engine checks constraints and generates identity values, as a primary's engine does. */
    @Volatile
    var engineAcceptsWrites: Boolean = false
        private set

    val rebuilding: Boolean get() = mustRebuild

    fun start() {
        thread(name = "replication-${target.name}", isDaemon = true) { run() }
    }

    fun wake() = wakeLock.withLock {
        hasWork = true
        wakeCondition.signalAll()
    }

    /** Schedules a rebuild of the data from the log. Does not block. */
    fun rebuild() {
        mustRebuild = true
        wake()
    }

    /** Blocks until the target may commit, or until [timeoutMillis] have passed. */
    fun awaitWritable(timeoutMillis: Long) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis)
        while (!target.writable && System.nanoTime() < endNanos) Thread.sleep(1)
    }

    override fun close() {
        closed = true
        wake()
    }

    private fun run() {
        while (!closed) {
            try {
                step()
            } catch (error: SQLException) {
                recover(error)
            }
        }
    }

    private fun step() {
        if (target.faults.crashed) return sleep(IDLE_MILLIS)
        receive()
        if (mustRebuild) rebuildEngine()
        updateEngineMode()
        val waitMillis = applyDueRecords()
        if (waitMillis > 0) sleep(waitMillis)
    }

    private fun recover(error: SQLException) {
        failures++
        Logger.warn("replication: {} failed to apply a record: {}", target.name, error.message)
        if (failures >= MAX_FAILURES) mustRebuild = true
        sleep(RETRY_MILLIS)
    }

    private fun receive() {
        var acknowledge: () -> Unit = {}
        target.group.locked {
            val primary = reachablePrimary() ?: return
            dropDivergentTail(primary)
            val records = primary.state.recordsAfter(state.received.offset, BATCH_RECORDS)
            if (!state.receive(primary.state.fenceTerm, primary.name, state.received, records)) return
            if (records.isNotEmpty()) batches += ReceivedBatch(state.received.offset, nowMillis())
            acknowledge = primary.acknowledge(target)
        }
        acknowledge()
    }

    private fun reachablePrimary(): Target? {
        if (state.role == TargetRole.PRIMARY) return null
        val primary = target.group.find(state.following) ?: return null
        val isUnreachable =
            target.faults.partitionedFromPeers || primary.faults.partitionedFromPeers || primary.faults.crashed
        val isPrimary = primary.state.role == TargetRole.PRIMARY && primary.state.fenceTerm >= state.fenceTerm
        return primary.takeIf { isPrimary && !isUnreachable }
    }

    private fun dropDivergentTail(primary: Target) {
        val common = state.commonPrefix(primary.state)
        if (common == state.received.offset) return
        Logger.info("replication: {} truncates its log after offset {}", target.name, common)
        if (common < state.appliedOffset) mustRebuild = true
        state.truncate(common)
        batches.removeAll { it.offset > common }
    }

    private fun rebuildEngine() {
        // Control connections stay open, because the one that requested the rebuild still waits for its answer.
        target.dropSessions { !it.isControl }
        val old = target.engine
        target.group.locked { state.markApplied(0) }
        target.engine = SqlEngine(target.name)
        engineAcceptsWrites = false
        old.close()
        while (applyNext()) Unit
        failures = 0
        mustRebuild = false
    }

    private fun updateEngineMode() {
        val shouldAcceptWrites = target.group.locked { state.role == TargetRole.PRIMARY && state.caughtUp }
        if (shouldAcceptWrites == engineAcceptsWrites) return
        if (shouldAcceptWrites) target.engine.prepareForWrites() else target.engine.prepareForReplication()
        engineAcceptsWrites = shouldAcceptWrites
    }

    /** Applies the records whose lag has passed. Returns the milliseconds until the next record is due. */
    private fun applyDueRecords(): Long {
        while (!closed) {
            val leftMillis = millisUntilDue() ?: return IDLE_MILLIS
            if (leftMillis > 0) return leftMillis
            if (!applyNext()) return 0
        }
        return 0
    }

    /** Returns the milliseconds until the next record is due, or null if all received records are applied. */
    private fun millisUntilDue(): Long? = target.group.locked {
        while (batches.firstOrNull()?.let { it.offset <= state.appliedOffset } == true) batches.removeFirst()
        when {
            state.caughtUp -> null
            state.role == TargetRole.PRIMARY -> 0
            batches.isEmpty() -> 0
            else -> batches.first().atMillis + target.faults.lagMillis - nowMillis()
        }
    }

    private fun applyNext(): Boolean {
        val record = target.group.locked { state.recordsAfter(state.appliedOffset, 1).firstOrNull() } ?: return false
        target.engine.apply(record)
        target.group.locked { state.markApplied(record.position.offset) }
        return true
    }

    private fun sleep(millis: Long) = wakeLock.withLock {
        if (!hasWork && !closed) wakeCondition.await(millis, TimeUnit.MILLISECONDS)
        hasWork = false
    }

    private fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    /** Records up to [offset] were received at [atMillis] of the monotonic clock. */
    private class ReceivedBatch(val offset: Long, val atMillis: Long)

    private companion object {
        const val BATCH_RECORDS = 1_000

        /** How long the loop sleeps without work. [wake] ends the sleep early. */
        const val IDLE_MILLIS = 100L
        const val RETRY_MILLIS = 20L

        /** The data are rebuilt from the log after this many failures since the last rebuild. */
        const val MAX_FAILURES = 20
    }
}
