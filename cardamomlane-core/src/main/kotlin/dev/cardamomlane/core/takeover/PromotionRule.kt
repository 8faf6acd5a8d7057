package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.takeover.PromotionDecision.Keep
import dev.cardamomlane.core.takeover.PromotionDecision.Promote
import dev.cardamomlane.core.takeover.PromotionDecision.Wait
import kotlinx.collections.immutable.toImmutableList

/**
 * Decides which target a takeover promotes, from what the targets of the group answered after the writes had stopped.
 *
 * Where a commit is acknowledged only once a replica has received it, an acknowledgement rests on the logs of the primary
 * and of one replica, whichever that is, and on no other log. With the primary gone, that replica alone may have the
 * commit, so a replica is promoted only if no other log can hold more: each other target has answered with no more, or is
 * gone. No target is passed over because it drains, stands in a draining zone, has just left the list, or can't be reached
 * from this host.
 *
 * A target is left out in three cases only:
 * - it counts as gone ([TargetFacts.isGone]);
 * - the old primary answers, and the log of the chosen replica has all of that one's;
 * - it has been waited for during [REPLICA_WAIT_MILLIS], and the old primary does not answer either.
 *
 * The log of the old primary is waited for as well while no replica is known to have it up to the start of its term: commits
 * that earlier primaries acknowledged may be there alone, when it was promoted for them and no replica has caught up. So is that
 * of an earlier primary which has not stepped down.
 *
 * Elsewhere an acknowledgement rests on the primary alone, and of the replicas that may serve the one with the longest log
 * is promoted at once.
 */
public object PromotionRule {
    /**
     * How long a target must have been missing from the platform's list to count as gone. The platform lists a target that
     * is alive within 2 s; the rest is for the successor of a target that has left, which takes over its log.
     */
    public const val GONE_MILLIS: Long = 8_000

    /** How long a replica may take to catch up with an old primary that still answers, before that one is kept. */
    public const val CATCH_UP_MILLIS: Long = 700

    /**
     * The longest wait for targets that may hold acknowledged commits. It leaves 2 s of the 12 s within which service has to
     * recover for the claim, the promotion and its publication.
     */
    public const val REPLICA_WAIT_MILLIS: Long = 10_000

    /** The decision on [facts]. */
    public fun decide(facts: TakeoverFacts): PromotionDecision {
        val old = facts.oldPrimary()
        val best = facts.bestReplica(old) ?: return facts.keepInTime(old, "no replica can become primary")
        val isBehind = old != null && facts.end(best) < old.end()
        return when {
            facts.isPlanned && isBehind -> facts.keepInTime(old, "no replica caught up")
            facts.isReplicated && (old == null || isBehind) -> facts.decideReplicated(best, old)
            else -> Promote(best.id)
        }
    }

    private fun TakeoverFacts.decideReplicated(best: TargetFacts, old: TargetFacts?): PromotionDecision {
        val awaited = awaited(best)
        val hasAllCommits = awaited.isEmpty() && knowsAllTargets
        return when {
            hasAllCommits -> Promote(best.id)
            old != null -> keepInTime(old, "no replica surely has every acknowledged commit")
            waitedMillis < REPLICA_WAIT_MILLIS -> Wait(awaited.toImmutableList())
            else -> Promote(best.id, leftOut = awaited.toImmutableList())
        }
    }

    /** The old primary, if it answers and still is primary. */
    private fun TakeoverFacts.oldPrimary(): TargetFacts? =
        targets.find { it.id == primary && it.answer?.isPrimary == true && it.answer.term >= term }

    /** The replica with the longest log among those that may lead; of equal ones preferably one that serves. */
    private fun TakeoverFacts.bestReplica(old: TargetFacts?): TargetFacts? {
        val isHandover = isPlanned && old != null
        return targets
            .filter { isReplica(it) && !it.isNotRunning }
            .filter { it.servesWork || (isReplicated && !isHandover) }
            .maxWithOrNull(compareBy({ end(it) }, { it.servesWork }, { -it.unreachableCount }))
    }

    /** The targets that may hold acknowledged commits that [best] lacks. */
    private fun TakeoverFacts.awaited(best: TargetFacts): List<TargetId> = targets
        .filter { it.id != best.id && !it.isGone && mayHoldMore(it, best) }
        .map { it.id }

    private fun TakeoverFacts.mayHoldMore(other: TargetFacts, best: TargetFacts): Boolean {
        // What a primary has of its own term was acknowledged only if a replica has it too.
        val hasLed = other.id == primary || isPrimary(other)
        val isNeeded = !hasLed || isReplica(other) || !hasStartOfTerm(best)
        return isNeeded && (other.received == null || end(other) > end(best))
    }

    private fun isReplica(target: TargetFacts): Boolean = target.answer?.isPrimary == false

    /** True for a primary of an earlier term, which has followed none since. */
    private fun isPrimary(target: TargetFacts): Boolean = target.answer?.isPrimary == true

    /** True when the log of [replica] surely has what [TakeoverFacts.primary] had when its promotion was ordered. */
    private fun TakeoverFacts.hasStartOfTerm(replica: TargetFacts): Boolean =
        startOfTerm == null || end(replica) >= startOfTerm

    private fun TakeoverFacts.end(target: TargetFacts): LogPosition = LogEnd.of(target.end(), startOfTerm)

    private fun TargetFacts.end(): LogPosition = received ?: LogPosition.START

    private fun TakeoverFacts.keepInTime(old: TargetFacts?, reason: String): PromotionDecision =
        if (old != null && waitedMillis > CATCH_UP_MILLIS) Keep(reason) else Wait()
}
