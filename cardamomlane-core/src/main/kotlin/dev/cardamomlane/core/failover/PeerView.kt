package dev.cardamomlane.core.failover

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TargetId

/**
 * What a daemon knows of a group, as it reports to peers that query it.
 *
 * @property term the highest term the daemon knows a primary of, 0 for none
 * @property primary the primary of [term], or null before the first
 * @property reach whether the daemon reaches that primary
 */
public data class PeerView(val host: HostId, val term: Long, val primary: TargetId?, val reach: PrimaryReach)
