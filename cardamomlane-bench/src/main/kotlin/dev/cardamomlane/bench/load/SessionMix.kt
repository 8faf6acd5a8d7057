package dev.cardamomlane.bench.load

/**
 * How a [RoamingSession] spends its operations; the rest are reads.
 *
 * @property roamPart how often it changes the daemon before an operation
 */
internal data class SessionMix(
    val insertPart: Double = 0.4,
    val transactionPart: Double = 0.2,
    val roamPart: Double = 0.05,
    val maxPauseMillis: Long = 10,
    val reconnectMillis: Long = 50,
)
