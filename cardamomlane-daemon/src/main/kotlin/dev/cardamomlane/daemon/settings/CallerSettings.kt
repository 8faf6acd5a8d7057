package dev.cardamomlane.daemon.settings

/**
 * The limits and timeouts for callers.
 *
 * @property allowPlaintextKeys whether a caller may send its key over a connection without TLS
 * @property tlsCertificateFile the certificate chain for TLS, or null for no TLS; set if and only if [tlsKeyFile] is
 * @property maxConnections how many caller connections this host accepts at once
 * @property startDeadlineMillis how long a statement may wait for a target before it is refused
 * @property confirmTimeoutMillis how long the confirmation of a write by a majority may take
 * @property stallTimeoutMillis how long a caller may leave replies unread before its connection is closed
 * @property drainMillis how long a graceful stop waits for sessions to end
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
