package dev.cardamomlane.daemon.caller

/** How the bytes of one caller connection are cut and encrypted. */
internal interface CallerTransport {
    val offersTls: Boolean

    /** Accepts the request for TLS and encrypts from then on. */
    fun startTls()

    /** Cuts typed messages of at most [maxBytes] from now on, in place of startup messages. */
    fun switchToTypedMessages(maxBytes: Int)
}
