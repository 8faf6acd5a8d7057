package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.target.StatusQuery
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/**
 * Finds out whether a replica has caught up with a primary that is about to leave and still serves, so that an attempt to
 * replace it doesn't stop its writes in vain.
 *
 * Not safe for use by several threads.
 */
internal class HandoverCheck(private val group: DatabaseGroup, private val customerName: () -> String?) {
    private var queriedAtMillis = GroupRecords.NEVER
    private var isQueryUnderWay = false
    private var received: LogPosition? = null
    private var caughtUpAtMillis = GroupRecords.NEVER

    /** True when now is a time to replace the primary. Called at a short interval while there is a reason to. */
    fun isTimely(nowMillis: Long): Boolean {
        val primary = group.primary ?: return true
        if (!primary.entry.isDraining || !primary.takesWork(nowMillis)) return true
        if (!isQueryUnderWay && nowMillis - queriedAtMillis >= INTERVAL_MILLIS) query(primary, nowMillis)
        return nowMillis - caughtUpAtMillis <= CAUGHT_UP_MILLIS
    }

    private fun query(primary: Target, nowMillis: Long) {
        val customer = customerName() ?: return
        queriedAtMillis = nowMillis
        isQueryUnderWay = true
        val queried = group.targets.filter { it === primary || it.isEligible }
        StatusQuery.run(queried, customer) { answers ->
            isQueryUnderWay = false
            onAnswers(primary, answers, nowMillis)
        }
    }

    /** What the primary had received one round earlier, a replica has by now if it follows closely. */
    private fun onAnswers(primary: Target, answers: Map<Target, TargetStatus>, sentAtMillis: Long) {
        val before = received
        val replicas = answers.filter { (target, status) -> target !== primary && !status.isPrimary }.values
        if (before != null && replicas.any { it.received >= before }) caughtUpAtMillis = sentAtMillis
        received = answers[primary]?.received
    }

    private companion object {
        /** How often the targets are queried. */
        const val INTERVAL_MILLIS = 250L

        /** For this time after the query a replica is taken to be close to the primary still. */
        const val CAUGHT_UP_MILLIS = 500L
    }
}
