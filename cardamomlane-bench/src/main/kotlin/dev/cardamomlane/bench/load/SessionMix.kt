package dev.cardamomlane.bench.load

/**
 * The mix of operations of a [RoamingSession]. Those that neither insert nor run a transaction are reads.
 *
 * @property roamProbability the probability of a reconnect before an operation
 * @property maxPauseMillis the longest pause after an operation
 * @property reconnectMillis the pause after a failed attempt to connect
 */
internal data class SessionMix(
    val insertFraction: Double = 0.4,
    val transactionFraction: Double = 0.2,
    val roamProbability: Double = 0.05,
    val maxPauseMillis: Long = 10,
    val reconnectMillis: Long = 50,
)
