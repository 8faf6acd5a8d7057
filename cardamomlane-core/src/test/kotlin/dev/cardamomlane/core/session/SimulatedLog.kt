package dev.cardamomlane.core.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import kotlin.random.Random

/** A log at three nodes, of which one is primary, and what a host knows of it. */
internal class SimulatedLog(val id: DatabaseId, private val random: Random) {
    private class Record(val term: Long, val acknowledgedMillis: Long, val isOwn: Boolean)

    private val received = List(NODES) { ArrayList<Record>() }
    private val applied = IntArray(NODES)
    private val samples = ArrayList<Pair<Long, LogPosition>>()
    private val acknowledged = ArrayList<Record>()
    private var term = 3L

    val nodes: IntRange get() = 0 until NODES
    var primary = 0
        private set

    /** False from a promotion until the host learns of it. Meanwhile it sends nothing to a target because that leads. */
    var isPrimaryKnown = true
        private set

    val newest: LogPosition? get() = samples.lastOrNull()?.second

    fun covering(millis: Long): LogPosition? = samples.firstOrNull { it.first >= millis }?.second

    fun position(node: Int): LogPosition =
        LogPosition(received[node].getOrNull(applied[node] - 1)?.term ?: 0, applied[node].toLong())

    /** Appends a commit that is acknowledged at once. Returns its position, or null while no primary is known. */
    fun commit(nowMillis: Long, isOwn: Boolean): LogPosition? {
        if (!isPrimaryKnown) return null
        val record = Record(term, nowMillis, isOwn)
        received[primary] += record
        acknowledged += record
        applied[primary] = received[primary].size
        return position(primary)
    }

    /** Each replica receives, and applies, a part of what it lacks. */
    fun replicate() {
        for (node in nodes.filter { it != primary && random.nextInt(3) == 0 }) {
            val all = received[primary]
            val count = random.nextInt(received[node].size, all.size + 1)
            received[node] += all.subList(received[node].size, count)
            applied[node] = random.nextInt(applied[node], received[node].size + 1)
        }
    }

    /** The host asks the primary where it is. An answer that is lower than the one before is not used. */
    fun sample(nowMillis: Long) {
        if (!isPrimaryKnown) return
        val position = position(primary)
        if (position.term < term && received[primary].isNotEmpty() && term > FIRST_TERM) return
        if (newest?.let { position < it } == true) return
        samples += nowMillis to position
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** Another node leads with what it has received. The others drop what differs. */
    fun promote() {
        primary = nodes.filter { it != primary }.random(random)
        term++
        isPrimaryKnown = false
        applied[primary] = received[primary].size
        for (node in nodes) cut(node, received[primary].zip(received[node]).takeWhile { (a, b) -> a === b }.size)
        forgetWhatIsGone()
    }

    fun learnPromotion() {
        if (isPrimaryKnown) return
        isPrimaryKnown = true
        samples.clear()
    }

    /** All nodes go back to an earlier state, and to an earlier term in half of the cases. */
    fun restore() {
        val count = random.nextInt(received[primary].size + 1)
        for (node in nodes) cut(node, minOf(count, received[node].size))
        forgetWhatIsGone()
        if (random.nextBoolean()) term = maxOf(received[primary].lastOrNull()?.term ?: FIRST_TERM, FIRST_TERM)
    }

    private fun cut(node: Int, count: Int) {
        while (received[node].size > count) received[node].removeLast()
        applied[node] = minOf(applied[node], count)
    }

    private fun forgetWhatIsGone() {
        val kept = received[primary].toHashSet()
        acknowledged.retainAll { it in kept }
    }

    /** The acknowledged commits that a read at [node] must show and does not. */
    fun missing(node: Int, seesOwnCommits: Boolean, sinceMillis: Long): List<String> {
        val shown = received[node].take(applied[node]).toHashSet()
        return acknowledged.filter {
            it !in shown &&
                (it.acknowledgedMillis < sinceMillis || (seesOwnCommits && it.isOwn))
        }
            .map { "a commit of term ${it.term}, acknowledged at ${it.acknowledgedMillis}" }
    }

    private companion object {
        const val NODES = 3
        const val MAX_SAMPLES = 64
        const val FIRST_TERM = 3L
    }
}
