package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.target.Target

/**
 * Delays the success of a write at [target] until this host can rule out that another target had been promoted before,
 * then passes [answer] to [done].
 *
 * When the group counts [target] as replaced, or this can't be ruled out within a second, [done] receives
 * [ErrorCode.OUTCOME_UNKNOWN].
 */
internal class Acknowledgement(
    private val services: SessionServices,
    private val group: DatabaseGroup,
    private val target: Target,
    private val answer: TargetAnswer,
    private val done: (Outcome) -> Unit,
) {
    private val startedAtMillis = services.timers.nowMillis()

    /** Calls [done] exactly once, possibly before this returns. Until then, checks again at a short interval. */
    fun start() {
        val waitedMillis = services.timers.nowMillis() - startedAtMillis
        when {
            group.writes.mayAcknowledge(target) -> done(Outcome.committed(answer, group.id))
            group.writes.isReplaced(target) || waitedMillis >= MAX_WAIT_MILLIS ->
                done(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the primary may have been replaced"))
            else -> services.timers.after(POLL_INTERVAL_MILLIS) { start() }
        }
    }

    private companion object {
        const val POLL_INTERVAL_MILLIS = 20L
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
