package dev.cardamomlane.core.fleet

/**
 * One member and where other members reach it.
 *
 * @property peerAddress `ip:port` of its peer endpoint
 */
public data class Member(val id: MemberId, val peerAddress: String)
