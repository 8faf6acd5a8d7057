package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.operator.Operator
import dev.cardamomlane.standin.lane.operator.OperatorConfig

/**
 * The routes that may have been in force for a statement. A host may go by an older configuration for some time after a
 * newer one was acknowledged, but not once a target has seen an effect of the newer one through this host.
 *
 * @param published all configurations, in order
 * @param disturbances all that ended the processes of hosts or kept them from learning of a configuration
 */
internal class RouteHistory(
    private val published: List<Operator.Publication>,
    private val effects: List<RouteEffect> = emptyList(),
    private val disturbances: List<Disturbance> = emptyList(),
) {
    private val hostEnds = disturbances.filter { DisturbedPart.HOSTS in it.kind.parts }

    /** Returns each route that may have decided on [statement]; null stands for a configuration without one. */
    fun possible(statement: SoakStatement): List<OperatorConfig.Route?> {
        val known = published.filter { it.atMillis <= statement.endedMillis }
        val oldest = known.indexOfLast { isInForce(it, statement) }.coerceAtLeast(0)
        return known.drop(oldest).map { it.config.route(statement.database) }.distinct()
    }

    /** Returns the name of the one group that may have served [statement], or null if there are several or none. */
    fun group(statement: SoakStatement): String? = possible(statement).map { it?.group }.distinct().singleOrNull()

    /** Whether no configuration older than [publication] may have decided on [statement]. */
    private fun isInForce(publication: Operator.Publication, statement: SoakStatement): Boolean {
        val isCalm = Disturbance.isCalm(disturbances, publication.atMillis, statement.operationMillis)
        val boundMillis = publication.atMillis + Disturbance.APPLY_MILLIS + if (isCalm) 0 else SKEW_MILLIS
        return boundMillis < statement.operationMillis || hasTakenEffect(publication, statement)
    }

    private fun hasTakenEffect(publication: Operator.Publication, statement: SoakStatement): Boolean = effects.any {
        it.host == statement.host && it.revision >= publication.config.revision &&
            it.atMillis + BACK_MILLIS < statement.operationMillis && isOneProcess(it, statement)
    }

    private fun isOneProcess(effect: RouteEffect, statement: SoakStatement): Boolean = hostEnds.none {
        statement.host in it.subject && it.overlaps(effect.atMillis, statement.endedMillis)
    }

    private companion object {
        const val SKEW_MILLIS = 12_000L

        /** How long after an effect of a configuration a host may still go by an older one. */
        const val BACK_MILLIS = 250L
    }
}
