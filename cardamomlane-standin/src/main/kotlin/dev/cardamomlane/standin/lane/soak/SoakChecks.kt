package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.operator.Operator
import dev.cardamomlane.standin.lane.record.GroupHistory
import dev.cardamomlane.standin.lane.record.StaleReads
import dev.cardamomlane.standin.lane.record.StatementChecks
import dev.cardamomlane.standin.lane.record.Violation
import dev.cardamomlane.standin.lane.record.Violation.Rule
import dev.cardamomlane.standin.lane.target.TargetLog

/**
 * The rules that a soak checks after its end, when all is healed.
 *
 * @param logs of the primaries of all groups
 * @param published all configurations, in order
 * @param keysByCustomer the keys of each customer, of which each has the rate [ratePerSecond] and a burst of as much
 * @param isAcknowledgedByReplica whether a commit is acknowledged only once a replica has it
 */
internal class SoakChecks(
    private val history: SoakHistory,
    private val group: GroupHistory,
    private val logs: List<TargetLog>,
    published: List<Operator.Publication>,
    private val keysByCustomer: Map<String, List<String>> = emptyMap(),
    private val ratePerSecond: Int = 0,
    private val isAcknowledgedByReplica: Boolean = false,
) {
    private val statements = history.statements()
    private val disturbances = history.disturbances()
    private val routes = RouteChecks(
        statements,
        group,
        StaleReads(history.commits(), group),
        RouteHistory(published, history.effects(), disturbances),
        ::isCalm,
    )
    private val violations = StatementChecks(group, history.sent::statements).violations()

    /** Returns a line for each broken rule, with the statements that broke it. */
    fun findings(): List<String> = listOf(
        finding("acknowledged writes are lost", lostWrites()),
        finding("acknowledged writes were committed at an old primary after a promotion", lateWrites()),
        finding("writes were committed though their callers were told that they were not run", refusedWrites()),
        finding(
            "writes stand twice in the log",
            group.repeatedCommits.filter { id ->
                logs.sumOf { it.count(id) } > 1
            },
        ),
        finding("unknown keys were admitted", history.sent.admittedKeys()),
        finding("reads were too old", routes.tooOld()),
        finding("reads ran at a group to which no route led", routes.foreignRuns()),
        finding("databases with a route were called unknown", routes.wronglyUnknown()),
        finding("sessions are not served since their database moved", routes.unservedSessions()),
        finding("answers are not those of a target", (mixedAnswers() + broken(Rule.MIXED)).distinct()),
        finding("statements ran otherwise than sent", broken(Rule.UNASKED)),
        finding("statements ran with other values, or outside their own transaction", broken(Rule.PINNED)),
        finding("customers got more than their rate", overRate()),
        finding("statements were cut by a planned stop", cutStatements()),
        finding("statements ran with a withdrawn key", withdrawnKeyStatements()),
        finding("hosts do not serve after the last disturbance", unserved(SoakStatement::host)),
        finding("databases are not served after the last disturbance", unserved(SoakStatement::database)),
    ).filterNotNull()

    /** How the reads of sessions whose route had changed ended. */
    fun routeSummary(): String = routes.summary()

    private fun broken(rule: Rule): List<String> =
        violations.filter { it.rule == rule }.map(Violation::statementId).distinct()

    private fun finding(text: String, statementIds: List<String>): String? =
        if (statementIds.isEmpty()) null else "${statementIds.size} $text: ${statementIds.take(MAX_NAMED)}"

    private val acknowledged: List<String>
        get() = statements.filter { it.isCommit && it.answer.isRunByTarget }.map { it.answer.statementId }

    /** What a promotion rolled back is excused where replicas receive commits after they are acknowledged. */
    private fun lostWrites(): List<String> {
        val kept = keptStatements()
        return acknowledged.filter { it !in kept && (isAcknowledgedByReplica || it !in group.rolledBackCommits) }
    }

    private fun keptStatements(): Set<String> = logs.flatMapTo(HashSet(), TargetLog::statementIds)

    /** A commit that a host may have sent before it was paused is excused. */
    private fun lateWrites(): List<String> {
        val late = group.lateCommits
        val pauses = disturbances.filter { it.kind == DisturbanceKind.HOST_PAUSE }
        return statements.filter { it.isCommit && it.answer.isRunByTarget && it.answer.statementId in late }
            .filter { late -> pauses.none { it.overlaps(late.sentMillis - THAW_MILLIS, late.endedMillis) } }
            .map { it.answer.statementId }
    }

    /** The successes with a digest that no target gave for their statements. */
    private fun mixedAnswers(): List<String> = statements.filter { it.answer.isRunByTarget }
        .filter { statement ->
            group.runsOf(statement.answer.statementId).none { it.digest == statement.answer.digest }
        }.map { it.answer.statementId }

    /** The customers of which more operations were sent and run within the window than their rate allows. */
    private fun overRate(): List<String> = keysByCustomer.mapNotNull { (customer, keys) ->
        val operations = statements.filter { it.key in keys }.groupBy(SoakStatement::operationId).values
            .mapNotNull(::sentAndRun).sortedBy { it.first }
        val most = operations.indices.maxOfOrNull { runInWindow(operations, it) } ?: 0
        val allowed = ratePerSecond * (RATE_WINDOW_MILLIS / MILLIS_PER_SECOND + 1) * RATE_TOLERANCE + RATE_SLACK
        if (most <= allowed) null else "$customer $most of $allowed"
    }

    /** When an operation was sent and when a target had first run a statement of it, or null if none did. */
    private fun sentAndRun(operation: List<SoakStatement>): Pair<Long, Long>? {
        val runs = operation.flatMap { group.runsOf(it.answer.statementId) }
        return runs.minOfOrNull { it.atMillis }?.let { operation.minOf(SoakStatement::sentMillis) to it }
    }

    private fun runInWindow(operations: List<Pair<Long, Long>>, first: Int): Int {
        val endMillis = operations[first].first + RATE_WINDOW_MILLIS
        var count = 0
        for (index in first until operations.size) {
            if (operations[index].first >= endMillis) break
            if (operations[index].second < endMillis) count++
        }
        return count
    }

    private fun refusedWrites(): List<String> {
        val kept = keptStatements()
        val refused = statements.filter { it.isCommit && it.answer.code in StatementChecks.NOT_RUN_CODES }
            .map { it.answer.statementId }
        return (refused + broken(Rule.REFUSED)).distinct().filter { it in kept }
    }

    private fun cutStatements(): List<String> {
        val stops = disturbances.filter { it.kind == DisturbanceKind.HOST_STOP }
        return statements.filter { statement ->
            val stop = stops.find { it.subject == statement.host && it.covers(statement) }
            stop != null && statement.answer.isCut && group.hasBegun(statement.answer.statementId) &&
                !isExcused(statement, stop) && isCalm(statement.sentMillis, statement.endedMillis)
        }.map { it.answer.statementId }
    }

    private fun Disturbance.covers(statement: SoakStatement): Boolean =
        statement.endedMillis in startMillis..startMillis + Disturber.GRACE_MILLIS + STOP_END_MILLIS

    /** A statement that was sent soon after the signal may be cut in the last sixth of the grace time. */
    private fun isExcused(statement: SoakStatement, stop: Disturbance): Boolean =
        statement.sentMillis - stop.startMillis <= EARLY_MILLIS &&
            statement.endedMillis - stop.startMillis > Disturber.GRACE_MILLIS * 5 / 6

    private fun withdrawnKeyStatements(): List<String> {
        val withdrawals = disturbances.filter { it.kind == DisturbanceKind.KEY_WITHDRAWAL }
        return statements.filter { statement ->
            val withdrawal = withdrawals.find {
                it.subject == statement.key &&
                    statement.sentMillis in it.startMillis + Disturbance.APPLY_MILLIS..it.endMillis
            }
            withdrawal != null && statement.answer.isRunByTarget &&
                isCalm(withdrawal.startMillis, statement.sentMillis)
        }.map { it.answer.statementId }
    }

    /** The values of [of] for which less than a quarter of the statements succeed once hosts had time to recover. */
    private fun unserved(of: (SoakStatement) -> String): List<String> {
        val calmSinceMillis = (disturbances.maxOfOrNull(Disturbance::endMillis) ?: 0) + RECOVERY_MILLIS
        return statements.groupBy(of).filterValues { ofOne ->
            val late = ofOne.filter { it.sentMillis > calmSinceMillis }
            late.count { it.answer.isDone } * SERVED_SHARE <= late.size
        }.keys.toList()
    }

    /** Whether nothing unplanned went on from a while before [fromMillis] until [toMillis]. */
    private fun isCalm(fromMillis: Long, toMillis: Long): Boolean =
        Disturbance.isCalm(disturbances, fromMillis, toMillis)

    companion object {
        /** How long after the last disturbance the hosts may need to serve again. */
        const val RECOVERY_MILLIS = 12_000L

        /** At least one statement in this many must succeed then. */
        private const val SERVED_SHARE = 4

        /** How long after a pause a host may still send what it had decided on before. */
        private const val THAW_MILLIS = 300L
        private const val RATE_WINDOW_MILLIS = 5_000L
        private const val MILLIS_PER_SECOND = 1_000L
        private const val RATE_TOLERANCE = 1.1
        private const val RATE_SLACK = 20

        private const val EARLY_MILLIS = 3_000L

        /** How long after the grace time a cut still belongs to the stop. */
        private const val STOP_END_MILLIS = 1_000L
        private const val MAX_NAMED = 5
    }
}
