package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/**
 * How far the targets' logs went by what they reported since [sinceMillis], when no host could acknowledge a write any more.
 *
 * A target that restarts with an empty log is another [Target], so an earlier report of one holds as long as it lives.
 *
 * Not safe for use by several threads.
 */
internal class ReportedLogs(val sinceMillis: Long) {
    private val newest = HashMap<Target, LogPosition>()

    /** Learns of the [answers] of one round of queries. */
    fun learn(answers: Map<Target, TargetStatus>) {
        for ((target, status) in answers) newest.merge(target, status.received) { old, new -> maxOf(old, new) }
    }

    /** The newest position up to which [target] reported to have received the log, or null when it has reported none. */
    fun received(target: Target): LogPosition? = newest[target]
}
