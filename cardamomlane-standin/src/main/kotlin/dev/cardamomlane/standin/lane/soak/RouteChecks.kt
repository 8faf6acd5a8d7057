package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.operator.OperatorConfig
import dev.cardamomlane.standin.lane.record.CallerRead
import dev.cardamomlane.standin.lane.record.GroupHistory
import dev.cardamomlane.standin.lane.record.ReadRun
import dev.cardamomlane.standin.lane.record.StaleReads
import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * What callers may expect of their routes, also while these change under open sessions. Where several routes may have been
 * in force, a statement only has to keep the promise of one of them.
 */
internal class RouteChecks(
    private val statements: List<SoakStatement>,
    private val history: GroupHistory,
    private val stale: StaleReads,
    private val routes: RouteHistory,
    private val isCalm: (fromMillis: Long, toMillis: Long) -> Boolean,
) {
    private val reads = statements.filter(SoakStatement::isRead)

    /** The runs of reads that are too old by each route that may have led there. */
    fun tooOld(): List<String> = runs().mapNotNull { (statement, run) ->
        val read = routes.possible(statement).filter {
            it?.group == run.group
        }.map { read(statement, checkNotNull(it)) }
        read.firstOrNull()?.takeIf { read.all { each -> stale.isTooOld(each, run) } }?.let { stale.describe(it, run) }
    }

    /** The runs of reads at a group to which no route may have led. */
    fun foreignRuns(): List<String> = runs().mapNotNull { (statement, run) ->
        "${statement.answer.statementId} ran at ${run.target}".takeIf {
            routes.possible(statement).none { it?.group == run.group }
        }
    }

    /** The statements whose database was called unknown although it surely had a route. */
    fun wronglyUnknown(): List<String> = statements.filter { statement ->
        statement.answer.code == PlatformWords.UNKNOWN_DATABASE && routes.possible(statement).none { it == null }
    }.map { it.answer.statementId }

    /**
     * The sessions of which no read is served from a move of their database to another group on, while reads of other
     * sessions are served there and nothing unplanned goes on.
     */
    fun unservedSessions(): List<String> = movedStays().filter { stay ->
        val ofStay = stay.filter(SoakStatement::isRead)
        ofStay.size >= MIN_READS && ofStay.none { it.answer.isDone } && isCalm(stay) && othersAreServed(stay)
    }.map { stay -> "${stay.first().session} since ${stay.first().sentMillis}" }

    private fun isCalm(stay: List<SoakStatement>) = isCalm(stay.first().sentMillis, stay.last().endedMillis)

    private fun othersAreServed(stay: List<SoakStatement>): Boolean {
        val group = routes.group(stay.first())
        val period = stay.first().sentMillis..stay.last().endedMillis
        return reads.count {
            it.session != stay.first().session && it.answer.isDone && it.sentMillis in period &&
                routes.group(it) == group
        } >= MIN_READS
    }

    /** How the reads of sessions whose route had changed ended. */
    fun summary(): String {
        val moved = movedStays()
        val changed = changedStays()
        return "${changed.size} stays of sessions on a changed route with ${served(changed)}, " +
            "${moved.size} at another group with ${served(moved)}"
    }

    private fun served(stays: List<List<SoakStatement>>): String {
        val ofStays = stays.flatten().filter(SoakStatement::isRead)
        return "${ofStays.count { it.answer.isDone }} of ${ofStays.size} reads served"
    }

    /** The statements that sessions sent one after another to one group, after they had sent some to another. */
    private fun movedStays(): List<List<SoakStatement>> = stays { routes.group(it) }

    /** The statements that sessions sent one after another on one route, after they had sent some on another. */
    private fun changedStays(): List<List<SoakStatement>> = stays { routes.possible(it).singleOrNull() }

    /** Leaves out statements of which it isn't known where they belong, and the first stay of each session. */
    private fun <T : Any> stays(placeOf: (SoakStatement) -> T?): List<List<SoakStatement>> =
        statements.groupBy(SoakStatement::session).values.flatMap { ofSession ->
            val stays = ArrayList<MutableList<SoakStatement>>()
            var last: T? = null
            for (statement in ofSession.sortedBy(SoakStatement::sentMillis)) {
                val place = placeOf(statement) ?: continue
                if (place == last) stays.last() += statement else stays += mutableListOf(statement)
                last = place
            }
            stays.drop(1)
        }

    private fun runs(): List<Pair<SoakStatement, ReadRun>> = reads.flatMap { statement ->
        history.readsOf(statement.answer.statementId).map { statement to it }
    }

    private fun read(statement: SoakStatement, route: OperatorConfig.Route) = CallerRead(
        statement.answer.statementId,
        statement.session,
        statement.operationMillis,
        maxStaleMillis = if (route.type == PlatformWords.PRIMARY) 0 else route.maxStaleMillis ?: 0,
        seesOwnCommits = route.type == PlatformWords.SESSION,
    )

    private companion object {
        /** Fewer reads may fail by chance. */
        const val MIN_READS = 4
    }
}
