package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.record.StatementChecks
import dev.cardamomlane.standin.lane.record.Violation
import dev.cardamomlane.standin.lane.record.Violation.Rule

/** Writes violations, and what was served, into the record of a soak while it runs. */
internal class SoakWatch(private val installation: LaneInstallation, private val history: SoakHistory) {
    private val known = HashSet<Violation>()

    /** Blocks until [isOver] says so. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            Thread.sleep(PERIOD_MILLIS)
            val violations = StatementChecks(installation.platform.history, history.sent::statements).violations()
            violations.filter { it.rule in LASTING_RULES && known.add(it) }
                .forEach { installation.record.line("violation $it") }
            val statements = history.statements()
            val doneCount = statements.count { it.answer.isDone }
            installation.record.line("$doneCount of ${statements.size} statements done, ${known.size} violations")
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 5_000L

        /** What breaks these can't be undone, as a commit can be by a promotion. */
        val LASTING_RULES = setOf(Rule.UNASKED, Rule.MIXED, Rule.PINNED)
    }
}
