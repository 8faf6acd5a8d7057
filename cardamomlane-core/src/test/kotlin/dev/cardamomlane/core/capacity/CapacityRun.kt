package dev.cardamomlane.core.capacity

import kotlin.random.Random

/**
 * Members that send statements to one simulated target, each with its own [TargetCapacity], and report to each other
 * every 250 ms with 20 ms delay.
 *
 * @property perSecond the statements that arrive at each member
 * @property workMillis draws the work of the next statement
 */
internal class CapacityRun(
    val target: SimulatedTarget,
    var perSecond: List<Double>,
    var workMillis: (Random) -> Double,
    private val zones: List<String> = List(perSecond.size) { "a" },
    create: (index: Int) -> TargetCapacity = { LearnedCapacity(target.slots, zones[it]) },
) {
    private val random = Random(7)
    private val waiting = perSecond.map { ArrayDeque<Double>() }
    private val delayed = ArrayList<Pair<Long, () -> Unit>>()

    val members: MutableList<TargetCapacity> = perSecond.indices.map(create).toMutableList()

    /** The delay that the network path adds for the members of a zone. */
    val pathMillis = HashMap<String, Double>()

    /** Members that neither send nor receive reports. */
    val cutMembers = HashSet<Int>()

    /** Time of all answers, the waiting at the member left out. */
    val tookMillis = ArrayList<Double>()

    var nowMillis = 0L
        private set

    val learned: List<LearnedCapacity> get() = members.filterIsInstance<LearnedCapacity>()

    /** Runs until [condition] holds or [maxMillis] have passed; returns the time that it took. */
    fun millisUntil(maxMillis: Long, condition: () -> Boolean): Long {
        val startMillis = nowMillis
        while (nowMillis - startMillis < maxMillis && !condition()) step()
        return nowMillis - startMillis
    }

    fun run(millis: Long) = repeat(millis.toInt()) { step() }

    private fun step() {
        nowMillis++
        delayed.filter { it.first <= nowMillis }.forEach { it.second() }
        delayed.removeIf { it.first <= nowMillis }
        target.step(nowMillis)
        for (index in members.indices) {
            if (random.nextDouble() < perSecond[index] / 1_000) waiting[index].addLast(workMillis(random))
            if (waiting[index].size > MAX_WAITING) waiting[index].removeFirst()
            (members[index] as? LearnedCapacity)?.takeIf { nowMillis % TICK_MILLIS == 0L }?.tick(nowMillis)
            startWaiting(index)
        }
        if (nowMillis % HEARTBEAT_MILLIS == 0L) report()
    }

    private fun startWaiting(index: Int) {
        val capacity = members[index]
        while (capacity.hasRoom) {
            val work = waiting[index].removeFirstOrNull() ?: return
            val kind = WorkKind("route-${work.toInt()}", isWrite = false)
            capacity.started(kind, nowMillis)
            target.send(work, nowMillis, pathMillis[zones[index]] ?: 0.0) { took, isSuccess ->
                tookMillis += took
                if (members[index] === capacity) capacity.answered(kind, took, isSuccess, nowMillis)
            }
        }
    }

    private fun report() {
        for ((from, capacity) in members.withIndex()) {
            val sample = (capacity as? LearnedCapacity)?.sample ?: continue
            for ((to, receiver) in members.withIndex()) {
                val isCut = from in cutMembers || to in cutMembers
                if (from == to || isCut || receiver !is LearnedCapacity) continue
                delayed += nowMillis + REPORT_DELAY_MILLIS to
                    { receiver.onPeer("member-$from", zones[from], sample, nowMillis) }
            }
        }
    }

    private companion object {
        const val TICK_MILLIS = 40
        const val HEARTBEAT_MILLIS = 250
        const val REPORT_DELAY_MILLIS = 20

        /** Callers give up, so that a burst does not leave an endless queue. */
        const val MAX_WAITING = 200
    }
}
