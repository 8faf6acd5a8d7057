package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.HostId

/**
 * One run of the daemon on one host.
 *
 * A daemon that restarts under the same host name is another member: nothing that its earlier run held passes to it.
 *
 * @property incarnation a number that differs between the runs on one host
 */
public data class MemberId(val host: HostId, val incarnation: Long) : Comparable<MemberId> {
    override fun compareTo(other: MemberId): Int = compareValuesBy(this, other, { it.host }, { it.incarnation })

    override fun toString(): String = "$host#$incarnation"
}
