package dev.cardamomlane.core.group

import dev.cardamomlane.core.TargetId

/**
 * One poll of all targets of a group, sent at or after [sentAtMillis].
 *
 * Answers may arrive in any order and late; each counts for its own round only.
 */
public class PollRound internal constructor(internal val number: Long, public val sentAtMillis: Long) {
    internal val answers: MutableMap<TargetId, TargetStatus> = LinkedHashMap()
}
