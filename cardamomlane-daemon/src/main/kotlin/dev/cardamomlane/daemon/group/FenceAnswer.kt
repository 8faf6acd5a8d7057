package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.group.TargetStatus

/** The answer to a fence, with the status of the target after it. */
public data class FenceAnswer(val granted: Boolean, val status: TargetStatus)
