package dev.cardamomlane.core.retry

/**
 * Tells a connection that went silent for good from a target that is slow to answer.
 *
 * While an answer is owed and nothing was heard for [silenceMillis], it wants a question asked on a new connection:
 * whether the target still works on the request. Only a target that is reached and knows nothing of the request, or
 * one that is not reached at all, condemns the connection, and only when it says so twice, [confirmMillis] apart: the
 * answer to a request that has just ended may come after the answer to the question.
 */
public class SilentConnectionDetector(
    sentAtMillis: Long,
    private val silenceMillis: Long = 1_000,
    private val confirmMillis: Long = 200,
) {
    private var heardAtMillis = sentAtMillis
    private var nextProbeMillis = sentAtMillis + silenceMillis
    private var isProbing = false
    private var isDoubted = false

    /** Takes in that something came over the connection. */
    public fun onReceived(nowMillis: Long) {
        heardAtMillis = nowMillis
        nextProbeMillis = nowMillis + silenceMillis
        isDoubted = false
    }

    /** Whether to ask on a new connection now. Its answer must come to [onProbeResult]. */
    public fun startProbeIfDue(nowMillis: Long): Boolean {
        if (isProbing || nowMillis < nextProbeMillis) return false
        isProbing = true
        return true
    }

    /** Returns whether the connection is to be given up, after the target said if it [isWorking] on the request. */
    public fun onProbeResult(isWorking: Boolean, nowMillis: Long): Boolean {
        isProbing = false
        val isSilent = !isWorking && nowMillis - heardAtMillis >= silenceMillis
        val isGivenUp = isSilent && isDoubted
        isDoubted = isSilent
        nextProbeMillis = nowMillis + if (isSilent) confirmMillis else silenceMillis
        return isGivenUp
    }
}
