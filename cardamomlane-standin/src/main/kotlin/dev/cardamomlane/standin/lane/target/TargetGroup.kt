package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.TimerService
import kotlin.random.Random

/**
 * One database group: a primary, and replicas that receive its log.
 *
 * Only a promotion replaces a primary. The first target that is added leads term 1. Not safe for use by several threads.
 *
 * @param firstTransaction the number of its first transaction; groups of one run have ranges of their own
 */
internal class TargetGroup(
    val settings: GroupSettings,
    val timers: TimerService,
    val registry: TargetRegistry,
    val listener: GroupListener,
    private val random: Random = Random.Default,
    firstTransaction: Int = 1,
) {
    private val members = ArrayList<LaneTarget>()

    /** How many connections were opened to all targets. */
    var connectionCount = 0
        private set
    private var nextTransaction = firstTransaction

    /** How all targets of the group deviate from a single answer to each statement. */
    val answerFaults = AnswerFaults(random)

    val targets: List<LaneTarget> get() = members

    private val firstCounts = HashMap<Long, Int>()

    /** The term of the newest promotion. */
    var newestTerm = 1L
        private set

    fun nextConnection(): Int = ++connectionCount

    fun nextTransaction(): Int = nextTransaction++

    /** Returns whether something happens that does in [share] of all cases. */
    fun isNext(share: Double): Boolean = share > 0 && random.nextDouble() < share

    /** How much longer the next use of a slot takes. */
    fun nextExtraMillis(): Long = random.nextLong(settings.maxExtraMillis + 1)

    /** Returns how many commits the log held when [term] began. */
    fun firstCountOf(term: Long): Int = firstCounts[term] ?: 0

    /** Adds a target that does not run yet. */
    fun add(name: String, availabilityZone: String): LaneTarget {
        require(find(name) == null) { "target \"$name\" exists already" }
        return LaneTarget(name, availabilityZone, group = this, isFirstPrimary = members.isEmpty()).also(members::add)
    }

    fun find(name: String): LaneTarget? = members.find { it.name == name }

    /** The running primary of the newest term, or null. */
    fun primary(): LaneTarget? = members.filter { it.isRunning && it.isPrimary }.maxByOrNull { it.term }

    /** Orders that the target [name] takes over, which happens after the time in the settings. */
    fun promote(name: String): PromotionResult {
        val target = find(name)
        if (target == null || !target.isRunning) return PromotionResult.NOT_RUNNING
        if (!target.isNewestPrimary) timers.after(settings.promoteMillis) { takeOver(target) }
        return PromotionResult.ACCEPTED
    }

    private fun takeOver(target: LaneTarget) {
        if (!target.isRunning || target.isNewestPrimary) return
        newestTerm++
        firstCounts[newestTerm] = target.log.size
        target.lead(newestTerm)
        listener.onPromoted(target.name, newestTerm)
        members.filter { it !== target && it.isRunning }.forEach { other ->
            if (other.isPrimary) timers.after(settings.stepDownMillis) { stepDown(other) } else other.follow(target)
        }
    }

    private fun stepDown(old: LaneTarget) {
        val leader = primary() ?: return
        if (old.isRunning && old.isPrimary && old.term < leader.term) old.stepDown(leader)
    }

    /** Makes [target] a replica if it is a primary of a term below [term]. */
    fun demote(target: LaneTarget, term: Long) {
        if (target.isPrimary && target.term < term) target.stepDown(primary()?.takeIf { it !== target })
    }

    /** Sends the log of [primary] to the replicas that follow it. Calls [onAcknowledged] when enough have received it. */
    fun replicate(primary: LaneTarget, onAcknowledged: () -> Unit) {
        if (settings.syncReplicaCount == 0) onAcknowledged()
        var missing = settings.syncReplicaCount
        timers.after(settings.receiveMillis) {
            if (!primary.isRunning) return@after
            members.filter { it.follows(primary) }.forEach { replica ->
                replica.receive(primary)
                missing--
                if (missing == 0) onAcknowledged()
            }
        }
    }
}
