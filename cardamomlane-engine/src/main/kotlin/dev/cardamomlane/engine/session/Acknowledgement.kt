package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.target.Target

/**
 * Holds a [target]'s success for a write until it is certain that no other primary was in place before, then hands it
 * to [done]. When that does not become certain soon, the outcome is told as unknown.
 */
internal class Acknowledgement(
    private val services: SessionServices,
    private val group: DatabaseGroup,
    private val target: Target,
    private val answer: TargetAnswer,
    private val done: (Outcome) -> Unit,
) {
    private val startedAtMillis = services.timers.nowMillis()

    /** Ends by calling [done] once, at once when it is certain already. */
    fun start() {
        val waitedMillis = services.timers.nowMillis() - startedAtMillis
        when {
            group.mayAcknowledge(target) -> done(Outcome.of(answer))
            group.isReplaced(target) || waitedMillis >= MAX_WAIT_MILLIS ->
                done(Outcome.error(ErrorCode.OUTCOME_UNKNOWN, "the primary may have been replaced"))
            else -> services.timers.after(STEP_MILLIS) { start() }
        }
    }

    private companion object {
        const val STEP_MILLIS = 20L
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
