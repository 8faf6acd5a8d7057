package dev.cardamomlane.core.fleet

/**
 * A member of the fleet and the address at which other members reach it.
 *
 * @property peerAddress the `ip:port` of its peer endpoint
 */
public data class Member(val id: MemberId, val peerAddress: String)
