package dev.cardamomlane.daemon.caller

/** Controls how one caller connection encrypts its bytes and splits them into messages. */
internal interface CallerTransport {
    /** Whether a certificate is configured. */
    val offersTls: Boolean

    /** True when the caller has sent more than the message that is being handled. */
    val hasUnreadBytes: Boolean

    /** Accepts the caller's request for TLS and encrypts everything after that answer. */
    fun startTls()

    /** Expects typed messages of at most [maxBytes], header included, from now on instead of startup messages. */
    fun switchToTypedMessages(maxBytes: Int)
}
