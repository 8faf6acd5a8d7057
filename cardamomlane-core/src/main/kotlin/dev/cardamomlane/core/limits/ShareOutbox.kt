package dev.cardamomlane.core.limits

import dev.cardamomlane.core.fleet.MemberId

/** Sends messages to other members. A message may be lost, delayed or delivered twice. */
public fun interface ShareOutbox {
    /** Sends [message] to [to] without blocking. */
    public fun send(to: MemberId, message: ShareMessage)
}
