package dev.cardamomlane.core.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import kotlin.random.Random

/** What a session remembers, by one rule or another, so that a schedule can be seen to find a wrong rule. */
internal interface SessionMemory {
    fun onCommit(log: DatabaseId, position: LogPosition)

    /** A transaction without writes has ended at a target of [log] with [position]. */
    fun onCommitWithoutWrites(log: DatabaseId, position: LogPosition)

    fun required(log: DatabaseId, covering: LogPosition?, newest: LogPosition?): LogPosition?
}

/** The rule of the product. */
internal class RememberedPositions : SessionMemory {
    private var positions = SessionPositions.NONE

    override fun onCommit(log: DatabaseId, position: LogPosition) {
        positions = positions.after(LogCommit(log, position))
    }

    override fun onCommitWithoutWrites(log: DatabaseId, position: LogPosition) = Unit

    override fun required(log: DatabaseId, covering: LogPosition?, newest: LogPosition?) =
        positions.required(log, covering, newest)
}

/**
 * One session over two replicated logs: replicas lag, promotions roll commits back, logs are restored, the session's route
 * changes its consistency and its log and back, transactions write nothing, and answers are lost or come too late.
 */
internal class SessionSchedule(seed: Long, private val memory: SessionMemory) {
    private val random = Random(seed)
    private val logs = listOf("archive", "annex").map { SimulatedLog(DatabaseId(it), random) }
    private val findings = ArrayList<String>()
    private var log = logs.first()
    private var seesOwnCommits = true
    private var nowMillis = MAX_STALE_MILLIS

    var ownReadCount = 0
        private set
    var replicaReadCount = 0
        private set
    var refusedCount = 0
        private set

    fun run(): List<String> {
        repeat(STEPS) {
            nowMillis += random.nextLong(1, 60)
            step()
        }
        return findings
    }

    private fun step() {
        when (random.nextInt(100)) {
            in 0..19 -> logs.forEach { it.replicate() }
            in 20..29 -> logs.random(random).commit(nowMillis, isOwn = false)
            in 30..39 -> write()
            in 40..54 -> logs.random(random).sample(nowMillis)
            in 55..59 -> commitWithoutWrites()
            in 60..66 -> changeRoute()
            67 -> logs.random(random).promote()
            in 68..69 -> logs.random(random).learnPromotion()
            70 -> if (random.nextInt(3) == 0) logs.random(random).restore()
            else -> read()
        }
    }

    private fun changeRoute() {
        if (random.nextBoolean()) log = logs.random(random)
        seesOwnCommits = random.nextInt(3) > 0
    }

    /** An answer that is lost, or comes after the caller was told that the outcome is unknown, acknowledges nothing. */
    private fun write() {
        val isAnswered = random.nextInt(8) > 0
        val position = log.commit(nowMillis, isOwn = isAnswered) ?: return
        if (isAnswered) memory.onCommit(log.id, position)
    }

    private fun commitWithoutWrites() {
        val node = choose() ?: return
        memory.onCommitWithoutWrites(log.id, log.position(node))
    }

    private fun read() {
        val node = choose()
        if (node == null) {
            if (log.isPrimaryKnown) findings += "a read at ${log.id} is refused although its primary is known"
            refusedCount++
            return
        }
        if (node != log.primary) replicaReadCount++
        val missing = log.missing(node, seesOwnCommits, nowMillis - MAX_STALE_MILLIS)
        if (seesOwnCommits) ownReadCount++
        if (missing.isNotEmpty()) findings += "a read of ${log.id} at $nowMillis lacks $missing"
    }

    /** The node that serves a read, or null when none may. */
    private fun choose(): Int? {
        val covering = log.covering(nowMillis - MAX_STALE_MILLIS)
        val required = if (seesOwnCommits) memory.required(log.id, covering, log.newest) else covering
        val fresh = log.nodes.filter { required != null && log.position(it) >= required }
        return (fresh + listOfNotNull(log.primary.takeIf { log.isPrimaryKnown })).randomOrNull(random)
    }

    private companion object {
        const val STEPS = 1_500
        const val MAX_STALE_MILLIS = 2_500L
    }
}
