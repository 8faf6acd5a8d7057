package dev.cardamomlane.bench.load

/**
 * How a [RoamingSession] spends its operations; the rest are reads.
 *
 * @property roamProbability how often it changes the daemon before an operation
 */
internal data class SessionMix(
    val insertFraction: Double = 0.4,
    val transactionFraction: Double = 0.2,
    val roamProbability: Double = 0.05,
    val maxPauseMillis: Long = 10,
    val reconnectMillis: Long = 50,
)
