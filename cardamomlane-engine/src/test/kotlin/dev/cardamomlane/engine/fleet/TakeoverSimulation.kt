package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.ClockReading
import dev.cardamomlane.engine.FakePromotions
import dev.cardamomlane.engine.FakeTarget
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.PartitionableStore
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.targetEntry
import kotlin.random.Random

/**
 * One short schedule of takeovers, drawn from a seed: the primary crashes, falls silent or leaves, once or twice. The
 * promotion call is slow, loses orders or answers, or carries orders out seconds later; so does the store with writes.
 * The hosts that hold a takeover are killed at one of its steps.
 *
 * Callers write and commit at every host meanwhile. The schedule compares what they were told, what the targets
 * committed and what was ordered.
 *
 * @param hasFreezes true to suspend the machines of hosts besides, above all of those that hold a takeover
 * @param log receives the decisions of all hosts
 */
internal class TakeoverSimulation(
    seed: Long,
    private val hasFreezes: Boolean = false,
    clockReading: ClockReading = ClockReading.BOOT_TIME,
    log: DecisionLog = DecisionLog.None,
) {
    private val random = Random(seed)

    /** Apart from [random], so that a seed gives the same other troubles with and without freezes. */
    private val freezeRandom = Random(-seed)
    private val hostCount = 3 + random.nextInt(3)
    private val fixture = HostFixture(hostCount, settleMillis = 1_500, log = log, clockReading = clockReading)
    private val timers = fixture.timers
    private val calls = fixture.promotionCalls
    private val ids = listOf("p", "r1", "r2")
    private val history = WriteHistory()
    private val callers = List(hostCount * CALLERS_PER_HOST) {
        TakeoverCaller(fixture, it % hostCount, isTransactional = it >= hostCount, history, random)
    }
    private val findings = LinkedHashSet<String>()
    private val killed = HashSet<Int>()
    private val leaving = HashSet<String>()
    private val downSinceMillis = HashMap<String, Long>()
    private val staleSinceMillis = HashMap<String, Long>()
    private var primary = fixture.targets.target("p")
    private var isQuiet = false
    private var listVersion = 1L
    private var killsLeft = 0
    private var killAt = TakeoverEvent.ORDER_SENT
    private var promotionTrouble = 0
    private var isStoreTroubled = false

    /** The number of orders that were sent. */
    val orderCount: Int get() = calls.sent.size

    /** The number of times that a machine was suspended. */
    var freezeCount = 0
        private set

    /** The number of hosts that were killed at a step of a takeover. */
    var killCount = 0
        private set

    /** Runs the schedule and returns a line for each violation. */
    fun run(): Collection<String> {
        calls.onPromoted = ::onPromoted
        calls.nextFate = ::promotionFate
        calls.onSent = { reach(TakeoverEvent.ORDER_SENT, it.holder) }
        calls.onPerformed = { reach(TakeoverEvent.ORDER_PERFORMED, it.holder) }
        fixture.store.onWritten =
            { reach(if (it.isChanging) TakeoverEvent.CLAIMED else TakeoverEvent.PUBLISHED, it.holder) }
        fixture.nextStoreFate = ::storeFate
        fixture.losesDatagramsWhileSuspended = freezeRandom.nextBoolean()
        fixture.targets.onCommit = { target, text -> history.committed(text, isAtPrimary = target === primary) }
        val secondAtMillis = 3_000L + random.nextInt(6_000)
        runFor(200)
        trouble()
        runFor(secondAtMillis)
        if (random.nextInt(5) < 3) trouble()
        runFor(TROUBLE_MILLIS - secondAtMillis)
        endTroubles()
        runFor(QUIET_MILLIS)
        check()
        return findings
    }

    private fun runFor(millis: Long) {
        val endMillis = timers.nowMillis() + millis
        while (timers.nowMillis() < endMillis) {
            timers.advance(STEP_MILLIS)
            replicate()
            demoteStale()
            list()
            if (freezeRandom.nextInt(FREEZE_SHARE) == 0) freeze(freezeRandom.nextInt(hostCount))
            for (caller in callers) if (isRunning(caller.host)) caller.step()
        }
    }

    private fun isRunning(index: Int) = index !in killed && !fixture.machine("host-$index").isSuspended

    private fun freeze(index: Int) {
        if (!hasFreezes || isQuiet || !isRunning(index)) return
        freezeCount++
        fixture.machine("host-$index").suspend(100L + freezeRandom.nextInt(MAX_FREEZE_MILLIS))
    }

    private fun trouble() {
        promotionTrouble = random.nextInt(5)
        isStoreTroubled = random.nextInt(3) == 0
        killsLeft = listOf(0, 1, 1, 2).random(random)
        killAt = TakeoverEvent.entries.random(random)
        val target = primary
        when (random.nextInt(4)) {
            0 -> crash(target, backInMillis = 500L + random.nextInt(8_000))
            1 -> {
                target.isSilent = true
                timers.after(1_000L + random.nextInt(4_000)) { target.isSilent = false }
            }
            else -> leave(target)
        }
    }

    private fun crash(target: FakeTarget, backInMillis: Long) {
        if (target.isDown) return
        target.isDown = true
        downSinceMillis[target.id] = timers.nowMillis()
        fixture.targets.links.filter { it.target === target }.forEach { it.disconnect() }
        timers.after(backInMillis) {
            downSinceMillis.remove(target.id)
            target.isDown = false
            target.isPrimary = target === primary
        }
    }

    /** The target leaves: it serves on for a while, then it ends and starts anew. */
    private fun leave(target: FakeTarget) {
        leaving += target.id
        timers.after(LEAVE_MILLIS) {
            leaving -= target.id
            crash(target, backInMillis = 300)
        }
    }

    private fun endTroubles() {
        isQuiet = true
        killsLeft = 0
    }

    private fun promotionFate(): FakePromotions.Fate {
        if (isQuiet) return FakePromotions.Fate()
        val late = if (random.nextInt(3) == 0) 0 else 1L + random.nextInt(MAX_LATE_MILLIS)
        return when (promotionTrouble) {
            1 -> FakePromotions.Fate(performedInMillis = late)
            2 -> FakePromotions.Fate(performedInMillis = 1, isAnswerLost = random.nextBoolean())
            3 -> FakePromotions.Fate(isLost = random.nextBoolean())
            4 -> FakePromotions.Fate(random.nextInt(4) == 0, performedInMillis = late, random.nextInt(3) == 0)
            else -> FakePromotions.Fate()
        }
    }

    private fun storeFate(): PartitionableStore.Fate = when {
        isQuiet || !isStoreTroubled -> PartitionableStore.Fate()
        random.nextInt(5) == 0 -> PartitionableStore.Fate(isAnswerLost = true)
        random.nextInt(8) == 0 -> PartitionableStore.Fate(appliedInMillis = 1L + random.nextInt(1_500))
        else -> PartitionableStore.Fate(answeredInMillis = random.nextLong(60))
    }

    /** The takeover of [holder] has come to [event]; kills that host now or a little later if it is to be killed there. */
    private fun reach(event: TakeoverEvent, holder: String) {
        val index = holder.substringBefore('#').removePrefix("host-").toInt()
        if (freezeRandom.nextInt(3) == 0) timers.after(1 + freezeRandom.nextLong(400)) { freeze(index) }
        if (killsLeft == 0 || event != killAt || random.nextInt(3) == 0) return
        if (index in killed) return
        killsLeft--
        if (random.nextBoolean()) kill(index) else timers.after(random.nextLong(400)) { kill(index) }
    }

    private fun kill(index: Int) {
        if (!killed.add(index)) return
        killCount++
        fixture.kill(index)
        callers.filter { it.host == index }.forEach { it.onHostLost() }
        timers.after(500L + random.nextInt(3_000)) {
            killed -= index
            fixture.restart(index)
        }
    }

    private fun replicate() {
        if (primary.isDown || primary.isSilent) return
        for (id in ids) {
            val target = fixture.targets.target(id)
            if (target.isDown || target.isPrimary || random.nextInt(3) == 0) continue
            target.position = primary.position
            target.log.clear()
            target.log.addAll(primary.log)
        }
    }

    /** A replaced primary becomes a replica a second after it can reach the new one. */
    private fun demoteStale() {
        for (id in ids) {
            val target = fixture.targets.target(id)
            val isStale = target.isPrimary && target !== primary && !target.isDown && !target.isSilent
            if (!isStale) {
                staleSinceMillis.remove(id)
            } else if (timers.nowMillis() - staleSinceMillis.getOrPut(id) { timers.nowMillis() } >= STALE_MILLIS) {
                target.isPrimary = false
            }
        }
    }

    private fun list() {
        val nowMillis = timers.nowMillis()
        val listed = ids.filter { id -> downSinceMillis[id]?.let { nowMillis - it < UNLISTED_MILLIS } ?: true }
        val entries = listed.map { targetEntry(it, fixture.targets.target(it).isPrimary, isDraining = it in leaving) }
        if (entries == fixture.entries) return
        fixture.entries = entries
        listVersion++
        for (index in 0 until hostCount) {
            if (index !in killed) update(index, StorePosition(1, listVersion))
        }
    }

    private fun update(index: Int, position: StorePosition) {
        val entries = fixture.entries
        fixture.machine("host-$index").whenAwake { fixture.hosts[index].updateTargets(entries, position) }
    }

    private fun onPromoted(target: FakeTarget, order: FakePromotions.Order) {
        val record = fixture.store.written.lastOrNull()
        if (record != null && !record.isChanging && record.primary.value != target.id) {
            findings += "${record.primary.value}, published under fence ${record.fence}, was deposed by the order of " +
                "${target.id} under fence ${order.fence}"
        }
        primary = target
    }

    private fun check() {
        callers.forEach { it.collectAnswer() }
        findings += history.findings()
        for ((fence, orders) in calls.sent.groupBy { it.fence }) {
            val targets = orders.map { it.target }.toSet()
            if (targets.size > 1) findings += "$targets were ordered under fence $fence"
        }
        val fences = calls.sent.map { it.fence }
        if (fences != fences.sorted()) findings += "orders were sent under the fences $fences"
        if (callers.none { it.hasWrittenSince(timers.nowMillis() - SERVED_MILLIS) }) {
            findings += "no write is served $QUIET_MILLIS ms after the last trouble"
        }
    }

    private companion object {
        const val STEP_MILLIS = 20L

        /** One step in so many suspends a machine. */
        const val FREEZE_SHARE = 40
        const val MAX_FREEZE_MILLIS = 4_000
        const val CALLERS_PER_HOST = 3
        const val TROUBLE_MILLIS = 10_000L

        /** Long enough for the last order to be carried out, and for one that never is to be given up. */
        const val QUIET_MILLIS = 14_000L
        const val SERVED_MILLIS = 2_000L
        const val LEAVE_MILLIS = 7_500L
        const val MAX_LATE_MILLIS = 6_000
        const val STALE_MILLIS = 1_000L
        const val UNLISTED_MILLIS = 3_600L
    }
}

/** The steps of a takeover at which its host may be killed. */
internal enum class TakeoverEvent { CLAIMED, ORDER_SENT, ORDER_PERFORMED, PUBLISHED }
