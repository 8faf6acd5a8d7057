package dev.cardamomlane.core.group

import dev.cardamomlane.core.TargetId

/** The last report of one target, with its reachability and the replay lag estimated from all reports. */
internal class TargetState(private val target: GroupTarget) {
    var report: TargetReport? = null
        private set
    var reachability = Reachability()
        private set
    var lag = LagEstimate()
        private set

    fun onReport(newReport: TargetReport, primaryHistory: PositionHistory) {
        val last = report
        reachability = reachability.answered(newReport.answeredAtMillis)
        // The answer to an older round may arrive after the answer to a newer one.
        if (last != null && newReport.pollSentAtMillis < last.pollSentAtMillis) return
        if (last != null && newReport.status.incarnation != last.status.incarnation) lag = LagEstimate()
        report = newReport
        lag.onApplied(newReport.status.applied, newReport.answeredAtMillis, primaryHistory)
    }

    fun onFailure(sentAtMillis: Long, newConnection: Boolean) {
        // A failed poll that was sent before the last answer arrived says nothing about the target now.
        if (sentAtMillis < (reachability.answeredAtMillis ?: Long.MIN_VALUE)) return
        reachability = reachability.failed(sentAtMillis, newConnection)
    }

    /** The target as primary of [term], or null while it must not get new work. */
    fun primaryCandidate(term: Long): Candidate? {
        val status = report?.status ?: return null
        val usable = status.isPrimaryInTerm && status.fenceTerm == term && !status.leaving && reachability.failures == 0
        return if (usable) candidate(TargetRole.PRIMARY) else null
    }

    /** The target as replica of [primary] in [term], or null while it must not get new work. */
    fun replicaCandidate(term: Long, primary: TargetId?): Candidate? {
        val status = report?.status ?: return null
        val usable = status.role == TargetRole.REPLICA && status.fenceTerm == term && status.following == primary &&
            !status.leaving && reachability.failures == 0
        return if (usable) candidate(TargetRole.REPLICA) else null
    }

    private fun candidate(role: TargetRole): Candidate? = report?.let {
        Candidate(target.id, role, target.zoneDistance, it.status.applied, lag.millis, it.answeredAtMillis)
    }
}
