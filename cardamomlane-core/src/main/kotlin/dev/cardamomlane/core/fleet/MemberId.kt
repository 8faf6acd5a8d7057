package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.HostId

/**
 * Identifies one incarnation of the daemon, which is one process on one host.
 *
 * A daemon that restarts under the same host name is another member and inherits nothing from the earlier incarnation.
 *
 * @property incarnation a number that differs between the incarnations on one host
 */
public data class MemberId(val host: HostId, val incarnation: Long) : Comparable<MemberId> {
    override fun compareTo(other: MemberId): Int = compareValuesBy(this, other, { it.host }, { it.incarnation })

    override fun toString(): String = "$host#$incarnation"
}
