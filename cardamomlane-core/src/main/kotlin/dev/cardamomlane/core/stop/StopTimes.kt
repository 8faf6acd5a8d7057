package dev.cardamomlane.core.stop

/**
 * When each step of a graceful stop comes, in milliseconds from its beginning, given the grace time after which the
 * process is killed.
 *
 * | step | at | what happens |
 * |---|---|---|
 * | - | 0 | not ready any more; callers are served as before until the load balancer sends them elsewhere |
 * | [closingMillis] | three tenths, at most 2.2 s | no new connections; each session ends once it is idle |
 * | [endingMillis] | half | open transactions are aborted, one with a statement under way at its end; nothing is begun |
 * | [lastAnswersMillis] | 0.1 s before the end, or a tenth of it | what is still under way is answered |
 * | [endMillis] | nine tenths | the process ends, if it has not done so before since nothing was left |
 *
 * So a transaction that is open when the stop begins has the first half of the grace time to end, wherever it runs.
 *
 * @throws IllegalArgumentException if [graceMillis] is negative
 */
public class StopTimes(public val graceMillis: Long) {
    init {
        require(graceMillis >= 0) { "a grace time of $graceMillis ms" }
    }

    public val closingMillis: Long = minOf(MAX_CLOSING_MILLIS, graceMillis * CLOSING_TENTHS / TENTHS)
    public val endMillis: Long = graceMillis * END_TENTHS / TENTHS
    public val endingMillis: Long = graceMillis / 2
    public val lastAnswersMillis: Long = endMillis - minOf(LAST_ANSWERS_MILLIS, endMillis / TENTHS)

    private companion object {
        const val TENTHS = 10L
        const val CLOSING_TENTHS = 3L
        const val END_TENTHS = 9L

        /** How long a load balancer may take to send callers to other hosts. */
        const val MAX_CLOSING_MILLIS = 2_200L
        const val LAST_ANSWERS_MILLIS = 100L
    }
}
