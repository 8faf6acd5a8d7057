package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId

/** How another host sees a database group. */
public data class PeerGroupView(
    public val host: HostId,
    public val term: Long,
    public val primary: TargetId?,
    public val reachesPrimary: Boolean,
)
