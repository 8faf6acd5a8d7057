package dev.cardamomlane.core.group

/**
 * Whether a target answers the polls of this host.
 *
 * @property answeredAtMillis when the last answer arrived, or null before the first
 * @property unansweredSinceMillis when the earliest of the [failures] was sent, or null when there are none
 * @property failures the number of polls that failed since the last answer
 * @property newConnectionFailures the number of [failures] whose poll had opened a connection of its own
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
