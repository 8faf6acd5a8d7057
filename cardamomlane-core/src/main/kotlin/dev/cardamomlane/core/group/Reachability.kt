package dev.cardamomlane.core.group

/**
 * Whether a target answers the polls of this host.
 *
 * @property answeredAtMillis when the last answer came, or null before the first
 * @property unansweredSinceMillis when the first poll since the last answer was sent that failed, or null
 * @property failures polls that failed since the last answer
 * @property newConnectionFailures those of [failures] that had opened a connection of their own
 */
public data class Reachability(
    val answeredAtMillis: Long? = null,
    val unansweredSinceMillis: Long? = null,
    val failures: Int = 0,
    val newConnectionFailures: Int = 0,
) {
    internal fun answered(nowMillis: Long): Reachability = Reachability(answeredAtMillis = nowMillis)

    internal fun failed(sentAtMillis: Long, newConnection: Boolean): Reachability = copy(
        unansweredSinceMillis = minOf(unansweredSinceMillis ?: sentAtMillis, sentAtMillis),
        failures = failures + 1,
        newConnectionFailures = newConnectionFailures + if (newConnection) 1 else 0,
    )
}
