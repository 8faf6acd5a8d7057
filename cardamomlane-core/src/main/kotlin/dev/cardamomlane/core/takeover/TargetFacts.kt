package dev.cardamomlane.core.takeover

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId

/**
 * What a host knows of one target while it decides which one a takeover promotes.
 *
 * Whether a target may be sent new statements ([servesWork]) says nothing about what its log holds: one that drains, that
 * stands in a draining zone or that has left the platform's list still counts for acknowledgements until it ends.
 *
 * @property answer the target's answer in the newest round of queries, or null without one
 * @property received the newest position that it has reported since the writes stopped, or null when it has reported none
 * @property servesWork true when the target may be sent new statements
 * @property isNotRunning true when the platform has said of late that the target does not run
 * @property isGone true when the target counts as lost: it has been missing from the platform's list for long, or another
 *   target has taken over its log
 * @property unreachableCount how many other hosts report that they can't reach the target
 */
public data class TargetFacts(
    val id: TargetId,
    val answer: LogReport?,
    val received: LogPosition? = answer?.received,
    val servesWork: Boolean = true,
    val isNotRunning: Boolean = false,
    val isGone: Boolean = false,
    val unreachableCount: Int = 0,
)
