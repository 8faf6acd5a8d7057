package dev.cardamomlane.daemon.settings

/**
 * What callers may do.
 *
 * @property allowPlaintextKeys whether a key may come over a connection without TLS
 * @property startDeadlineMillis how long a statement may wait for a target before it is refused
 * @property confirmTimeoutMillis how long a write may wait for its confirmation by a majority
 * @property drainMillis how long a graceful stop waits for open transactions
 */
internal data class CallerSettings(
    val allowPlaintextKeys: Boolean,
    val tlsCertificateFile: String?,
    val tlsKeyFile: String?,
    val maxConnections: Int,
    val maxMessageBytes: Int,
    val startDeadlineMillis: Int,
    val confirmTimeoutMillis: Int,
    val stallTimeoutMillis: Int,
    val drainMillis: Int,
)
