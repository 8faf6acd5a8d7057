package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/**
 * One target of a [TakeoverSchedule].
 *
 * @property log the commits that it has received, in order
 * @property logTerm the term of the last of them, and of the log's start while there is none
 */
internal class ModelReplica(val id: TargetId) {
    val log = ArrayList<Int>()
    var logTerm = 1L
    var knownTerm = 1L
    var isPrimary = false
    var isRunning = true
    var isDraining = false

    /** True while it receives nothing. */
    var isDeaf = false

    /** True while it answers this host nothing, but receives and counts for acknowledgements. */
    var isSilent = false
    var endedAtMillis: Long? = null

    /** @param reportsKnownTerm true when a position names the newest term that the target knows, not that of the last commit */
    fun report(reportsKnownTerm: Boolean): LogReport? {
        if (!isRunning || isSilent) return null
        val term = if (reportsKnownTerm) knownTerm else logTerm
        return LogReport(isPrimary, knownTerm, LogPosition(term, log.size.toLong()))
    }

    fun receive(primary: ModelReplica) {
        val isFollowing = isRunning && !isDeaf && !isPrimary && knownTerm == primary.knownTerm
        if (!isFollowing) return
        log.clear()
        log += primary.log
        logTerm = primary.logTerm
    }

    /** Follows [primary] from now on: what the log has beyond the common start is rolled back. */
    fun follow(primary: ModelReplica) {
        isPrimary = false
        knownTerm = primary.knownTerm
        val sameCount = log.zip(primary.log).takeWhile { (own, other) -> own == other }.size
        while (log.size > sameCount) log.removeLast()
        receive(primary)
    }
}
