package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/**
 * An immutable snapshot of a group that answers [RouteRequest]s. [GroupMonitor] builds a new one when its data
 * changes, so that a decision only compares a few precomputed numbers. Safe for use by several threads.
 */
public class RoutingTable internal constructor(
    private val term: Long,
    private val primary: Candidate?,
    private val replicas: Array<Candidate>,
    private val confirmedAtMillis: Long?,
    private val samples: PositionHistory,
    private val primaryHistory: PositionHistory,
    private val settings: RoutingSettings,
) {
    /** Chooses a target for [request] at [nowMillis]. */
    public fun choose(request: RouteRequest, nowMillis: Long): RouteChoice = when {
        confirmedAtMillis == null || nowMillis - confirmedAtMillis > settings.termValidMillis ->
            RouteChoice.Unavailable("no majority of the targets confirms the current term")
        request.write || request.maxAgeMillis == null -> usePrimary(request)
        else -> chooseForRead(request, request.maxAgeMillis, nowMillis)
    }

    private fun usePrimary(request: RouteRequest): RouteChoice {
        if (primary == null || primary.target in request.excluded) return RouteChoice.Wait(settings.retryWaitMillis)
        return RouteChoice.Use(primary.target, term, TargetRole.PRIMARY, request.minimumPosition)
    }

    private fun chooseForRead(request: RouteRequest, maxAgeMillis: Long, nowMillis: Long): RouteChoice {
        val oldestSampleMillis = nowMillis - maxAgeMillis + minOf(settings.ageHeadroomMillis, maxAgeMillis / 2)
        val sampleIndex = samples.indexSince(oldestSampleMillis)
        if (sampleIndex < 0) return usePrimary(request)
        val required = maxOf(request.minimumPosition, samples.positionAt(sampleIndex))
        val reachedAtMillis = primaryHistory.reachedAtMillis(required) ?: nowMillis
        var best: Candidate? = null
        var bestCost = Double.MAX_VALUE
        var bestWaitMillis = 0L
        for (replica in replicas) {
            if (!answeredRecently(replica, nowMillis) || replica.target in request.excluded) continue
            val waitMillis = waitMillis(replica, required, reachedAtMillis, nowMillis)
            if (waitMillis > settings.maxWaitMillis) continue
            val cost = waitMillis + cost(replica, request)
            if (cost < bestCost) {
                best = replica
                bestCost = cost
                bestWaitMillis = waitMillis
            }
        }
        if (best == null || bestCost > primaryCost(request)) return usePrimary(request)
        if (bestWaitMillis > 0) return RouteChoice.Wait(bestWaitMillis)
        val validUntilMillis = samples.millisAt(sampleIndex) + maxAgeMillis
        return RouteChoice.Use(best.target, term, TargetRole.REPLICA, required, validUntilMillis)
    }

    private fun answeredRecently(replica: Candidate, nowMillis: Long): Boolean =
        nowMillis - replica.answeredAtMillis <= settings.replicaTimeoutMillis

    private fun waitMillis(replica: Candidate, required: LogPosition, reachedAtMillis: Long, nowMillis: Long): Long {
        if (replica.applied >= required) return 0
        val expectedAtMillis = reachedAtMillis + replica.lagMillis.toLong() + settings.lagMarginMillis
        return (expectedAtMillis - nowMillis).coerceAtLeast(0)
    }

    private fun primaryCost(request: RouteRequest): Double =
        if (primary == null || primary.target in request.excluded) {
            Double.MAX_VALUE
        } else {
            cost(primary, request) + settings.primaryCostMillis
        }

    private fun cost(candidate: Candidate, request: RouteRequest): Double =
        request.load(candidate.target) * settings.loadCostMillis + candidate.zoneDistance * settings.zoneCostMillis
}
