package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.group.TargetStatus

/** The answer to [TargetControl.fence]. [status] is the status of the target after the call. */
public data class FenceAnswer(val granted: Boolean, val status: TargetStatus)
