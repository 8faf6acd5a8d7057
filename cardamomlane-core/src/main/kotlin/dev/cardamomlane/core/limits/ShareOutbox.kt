package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** Takes messages for other members. A message may be lost, delayed or delivered twice. */
public fun interface ShareOutbox {
    /** Hands over [message] for [to] without waiting. */
    public fun send(to: MemberId, message: ShareMessage)
}
