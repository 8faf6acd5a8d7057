package dev.cardamomlane.core.retry

/**
 * Distinguishes a connection on which no answer will come from a target that is slow to answer.
 *
 * When an answer is pending and nothing was received for [silenceMillis], the target is probed over a new connection:
 * does it still work on the request? A probe fails if the target does not know the request or can't be reached. The
 * connection is given up after two consecutive failed probes, [confirmMillis] apart: a request may have just ended when
 * it is probed, and its answer may then arrive after the result of the probe.
 *
 * @param sentAtMillis when the request was sent
 */
public class SilentConnectionDetector(
    sentAtMillis: Long,
    private val silenceMillis: Long = 1_000,
    private val confirmMillis: Long = 200,
) {
    private var receivedAtMillis = sentAtMillis
    private var nextProbeMillis = sentAtMillis + silenceMillis
    private var isProbing = false
    private var isSuspected = false

    /** Called when something was received over the connection. */
    public fun onReceived(nowMillis: Long) {
        receivedAtMillis = nowMillis
        nextProbeMillis = nowMillis + silenceMillis
        isSuspected = false
    }

    /** Returns whether to probe the target now. If true, its result must be passed to [onProbeResult]. */
    public fun startProbeIfDue(nowMillis: Long): Boolean {
        if (isProbing || nowMillis < nextProbeMillis) return false
        isProbing = true
        return true
    }

    /** Records whether the target [isWorking] on the request. Returns whether the connection is to be given up. */
    public fun onProbeResult(isWorking: Boolean, nowMillis: Long): Boolean {
        isProbing = false
        val isSilent = !isWorking && nowMillis - receivedAtMillis >= silenceMillis
        val isGivenUp = isSilent && isSuspected
        isSuspected = isSilent
        nextProbeMillis = nowMillis + if (isSilent) confirmMillis else silenceMillis
        return isGivenUp
    }
}
