package dev.cardamomlane.core.group

import dev.cardamomlane.core.LogPosition

/** What a target answered to the position check that was sent before a read on the same connection. */
public data class PositionAnswer(val applied: LogPosition, val role: TargetRole, val fenceTerm: Long)

/**
 * Tells whether the result of a read that ran right after [answer] may be passed to the caller.
 *
 * The read was sent at [sentAtMillis], and the target ran it after it had answered the position check, so it saw at
 * least [PositionAnswer.applied]. A target that is fenced at another term is not accepted: at a lower term it may be a
 * primary that has been replaced, and at a higher term its log may still end in records that the new primary drops.
 */
public fun isFreshEnough(answer: PositionAnswer, requirement: ReadRequirement, sentAtMillis: Long): Boolean =
    answer.fenceTerm == requirement.term &&
        answer.applied >= requirement.position &&
        sentAtMillis <= requirement.validUntilMillis
