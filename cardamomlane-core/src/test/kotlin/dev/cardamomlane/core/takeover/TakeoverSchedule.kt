package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.takeover.PromotionDecision.Promote
import dev.cardamomlane.core.takeover.PromotionDecision.Wait
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

/**
 * A schedule of one group, drawn from a seed, in which a commit is acknowledged once a replica has received it. Replicas drain
 * and leave, receive nothing for a while, fall silent, crash and come back, in any order and beside one another, while the
 * primary crashes or leaves, several times. One host carries out the takeovers by [PromotionRule].
 */
internal class TakeoverSchedule(seed: Long) {
    private val random = Random(seed)
    private val reportsKnownTerm = random.nextBoolean()
    private val replicas = List(2 + random.nextInt(3)) { ModelReplica(TargetId("t$it")) }
    private val actions = ArrayList<Pair<Long, () -> Unit>>()
    private val acknowledged = ArrayList<Int>()
    private var nowMillis = 0L
    private var nextCommit = 0
    private var primary = replicas.first().also { it.isPrimary = true }
    private var startOfTerm: LogPosition? = null
    private var firstOfTerm = 0
    private var silentSinceMillis: Long? = null
    private var takeover: Takeover? = null
    private val notRunningSinceMillis = HashMap<TargetId, Long>()
    private val findings = ArrayList<String>()

    val acknowledgedCount: Int get() = acknowledged.size
    var promotionCount = 0
        private set

    /** The promotions of a target that took no new work. */
    var leavingCount = 0
        private set

    /** The promotions for which a target was waited for. */
    var waitCount = 0
        private set

    /** The promotions that left a target out or took one as gone. */
    var givenUpCount = 0
        private set

    private class Takeover(val sinceMillis: Long) {
        /** Since when a replica has answered all the time. */
        var answeredSinceMillis = sinceMillis
        val received = HashMap<TargetId, LogPosition>()
        var hasWaited = false
        var orderedAtMillis: Long? = null
    }

    /** Runs the schedule and returns a line for each violation. */
    fun run(): List<String> {
        while (nowMillis < DURATION_MILLIS) {
            nowMillis += STEP_MILLIS
            actions.filter { it.first <= nowMillis }.also(actions::removeAll).forEach { (_, action) -> action() }
            if (random.nextInt(TROUBLE_SHARE) == 0) trouble()
            commit()
            takeOver()
        }
        return findings
    }

    private fun after(millis: Long, action: () -> Unit) {
        actions += nowMillis + millis to action
    }

    private fun trouble() {
        val target = if (random.nextInt(4) == 0) primary else replicas.random(random)
        if (!target.isRunning) return
        when (random.nextInt(5)) {
            0 -> release(target)
            1 -> end(target, awayMillis())
            2 -> {
                target.isDeaf = true
                after(500 + random.nextLong(7_000)) { hear(target) }
            }
            3 -> {
                target.isSilent = true
                after(300 + random.nextLong(9_000)) { target.isSilent = false }
            }
            else -> if (target === primary) end(target, awayMillis = 1_000 + random.nextLong(8_000))
        }
    }

    private fun hear(target: ModelReplica) {
        target.isDeaf = false
        follow(target)
    }

    /** The target follows the primary from now on, unless one of them does not run. */
    private fun follow(target: ModelReplica) {
        if (target !== primary && target.isRunning && primary.isRunning) target.follow(primary)
    }

    /** How long a target that ends is away, seldom for long. */
    private fun awayMillis(): Long {
        val boundMillis = if (random.nextInt(3) == 0) LONG_AWAY_MILLIS else 9_000
        return 300 + random.nextLong(boundMillis)
    }

    private fun release(target: ModelReplica) {
        if (target.isDraining) return
        target.isDraining = true
        after(DRAIN_MILLIS + random.nextLong(3_000)) { end(target, awayMillis = 300 + random.nextLong(2_000)) }
    }

    /** The target ends, and starts again with its log, as a replica if another one was promoted meanwhile. */
    private fun end(target: ModelReplica, awayMillis: Long) {
        if (!target.isRunning) return
        target.isRunning = false
        target.isDraining = false
        target.endedAtMillis = nowMillis
        after(awayMillis) {
            target.isRunning = true
            target.endedAtMillis = null
            target.isPrimary = target === primary
            if (target === primary) replicas.forEach(::follow) else follow(target)
        }
    }

    private fun commit() {
        if (!primary.isRunning || takeover != null) return
        repeat(COMMITS_A_STEP) {
            val commit = nextCommit++
            primary.log += commit
            primary.logTerm = primary.knownTerm
            replicas.filter { it !== primary }.forEach { it.receive(primary) }
            val isReceived = replicas.any { it !== primary && it.isRunning && it.log.lastOrNull() == commit }
            if (isReceived) acknowledged += commit
        }
    }

    private fun takeOver() {
        val isSilent = !primary.isRunning || primary.isSilent
        silentSinceMillis = if (isSilent) silentSinceMillis ?: nowMillis else null
        val isDue = silentSinceMillis?.let { nowMillis - it >= SUSPICION_MILLIS } ?: false
        val current = takeover ?: if (isDue || primary.isDraining) Takeover(nowMillis) else return
        takeover = current
        if (current.orderedAtMillis?.let { nowMillis - it < PROMOTION_TIMEOUT_MILLIS } == true) return
        val facts = facts(current)
        when (val decision = PromotionRule.decide(facts)) {
            is Wait -> current.hasWaited = true
            is PromotionDecision.Keep -> takeover = null
            is Promote -> order(current, decision, facts)
        }
        if (facts.targets.none { it.answer?.isPrimary == false }) current.answeredSinceMillis = nowMillis
        if (nowMillis - current.answeredSinceMillis > LIMIT_MILLIS) {
            findings += "a takeover has been under way for more than $LIMIT_MILLIS ms"
        }
    }

    private fun facts(current: Takeover): TakeoverFacts {
        val targets = replicas.map { replica ->
            val answer = replica.report(reportsKnownTerm)
            if (answer != null) current.received.merge(replica.id, answer.received, ::maxOf)
            TargetFacts(
                id = replica.id,
                answer = answer,
                received = current.received[replica.id],
                servesWork = replica.isRunning && !replica.isDraining && !replica.isSilent,
                isNotRunning = notRunningSinceMillis[replica.id]?.let { nowMillis - it < NOT_RUNNING_MILLIS } ?: false,
                isGone = isGone(replica),
            )
        }
        return TakeoverFacts(
            primary = primary.id,
            term = primary.knownTerm,
            startOfTerm = startOfTerm,
            isPlanned = primary.isDraining,
            isReplicated = true,
            targets = targets.toImmutableList(),
            waitedMillis = nowMillis - current.sinceMillis,
        )
    }

    private fun isGone(replica: ModelReplica): Boolean =
        replica.endedAtMillis?.let { nowMillis - it >= UNLISTED_MILLIS + PromotionRule.GONE_MILLIS } ?: false

    /** The order is carried out a moment later, unless its target has ended by then. */
    private fun order(current: Takeover, decision: Promote, facts: TakeoverFacts) {
        val target = replicas.first { it.id == decision.target }
        val received = checkNotNull(facts.targets.first { it.id == target.id }.answer).received
        val givenUp = decision.leftOut + facts.targets.filter { it.isGone }.map { it.id }
        current.orderedAtMillis = nowMillis
        after(PROMOTION_MILLIS) {
            if (target.isRunning) {
                promote(target, received, givenUp.toSet(), current)
            } else {
                notRunningSinceMillis[target.id] = nowMillis
                current.orderedAtMillis = null
            }
        }
    }

    private fun promote(target: ModelReplica, received: LogPosition, givenUp: Set<TargetId>, current: Takeover) {
        check(target, givenUp)
        promotionCount++
        if (target.isDraining) leavingCount++
        if (current.hasWaited) waitCount++
        if (givenUp.isNotEmpty()) givenUpCount++
        startOfTerm = received
        firstOfTerm = nextCommit
        primary = target
        target.isPrimary = true
        target.knownTerm = replicas.maxOf { it.knownTerm } + 1
        replicas.forEach(::follow)
        takeover = null
        silentSinceMillis = null
    }

    /** What only the targets in [givenUp] had may be lost. For the commits of its own term the old primary does not count. */
    private fun check(target: ModelReplica, givenUp: Set<TargetId>) {
        val lost = acknowledged - target.log.toSet()
        val isExcused = lost.all { commit ->
            replicas.filter { commit in it.log && (it !== primary || commit < firstOfTerm) }.all { it.id in givenUp }
        }
        if (lost.isNotEmpty() && !isExcused) {
            findings +=
                "${lost.size} acknowledged commits are not in the log of ${target.id}, promoted at $nowMillis ms"
        }
        acknowledged -= lost.toSet()
    }

    private companion object {
        const val STEP_MILLIS = 100L
        const val DURATION_MILLIS = 60_000L

        /** One step in so many begins another trouble. */
        const val TROUBLE_SHARE = 12
        const val COMMITS_A_STEP = 2
        const val DRAIN_MILLIS = 7_000L
        const val LONG_AWAY_MILLIS = 30_000L
        const val SUSPICION_MILLIS = 500L
        const val PROMOTION_MILLIS = 300L
        const val PROMOTION_TIMEOUT_MILLIS = 2_500L
        const val NOT_RUNNING_MILLIS = 3_000L

        /** How long a target that has crashed stays on the list. */
        const val UNLISTED_MILLIS = 3_600L

        /** The wait for replicas, for orders to targets that end meanwhile, and for the next ones. */
        const val LIMIT_MILLIS = PromotionRule.REPLICA_WAIT_MILLIS + 3 * PROMOTION_TIMEOUT_MILLIS
    }
}
