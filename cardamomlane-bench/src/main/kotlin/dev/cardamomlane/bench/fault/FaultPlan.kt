package dev.cardamomlane.bench.fault

import kotlin.random.Random

/**
 * Draws faults and their times from a seed. Faults may overlap.
 *
 * At most one daemon is killed, and none unless [MIN_SURVIVING_DAEMONS] are left.
 */
internal class FaultPlan(
    private val seed: Int,
    private val databaseCount: Int,
    private val targetCount: Int,
    private val daemonCount: Int,
) {
    private val random = Random(seed)
    private var remainingKills = if (daemonCount > MIN_SURVIVING_DAEMONS) 1 else 0

    /** The faults of a run of [runMillis], in order of their start. */
    fun draw(runMillis: Long): List<PlannedFault> {
        val planned = ArrayList<PlannedFault>()
        var atMillis = FIRST_FAULT_MILLIS
        while (atMillis < runMillis - FAULT_FREE_END_MILLIS) {
            val lengthMillis = random.nextLong(MIN_LENGTH_MILLIS, MAX_LENGTH_MILLIS)
            planned += PlannedFault(atMillis, lengthMillis, drawFault(lengthMillis))
            atMillis += random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS)
        }
        return planned
    }

    private fun drawFault(lengthMillis: Long): Fault = when (random.nextInt(14)) {
        0, 1, 2 -> Fault.Cut(drawTarget(), callers = true, peers = true)
        3 -> Fault.Cut(drawTarget(), callers = true, peers = false)
        4 -> Fault.Cut(drawTarget(), callers = false, peers = true)
        5 -> Fault.Lag(drawTarget(), lagMillis = random.nextLong(200, 2_000))
        6 -> Fault.Silence(drawTarget())
        7 -> Fault.LoseAnswers(drawTarget(), count = random.nextInt(1, 6))
        8 -> Fault.Slow(drawTarget(), delayMillis = random.nextLong(20, 300))
        9 -> Fault.Crash(drawTarget())
        10 -> Fault.Leaving(drawTarget())
        11 -> drawPlatformFault(lengthMillis)
        12 -> Fault.DaemonPause(random.nextInt(daemonCount))
        else -> drawKill()
    }

    private fun drawPlatformFault(lengthMillis: Long): Fault = when (random.nextInt(3)) {
        0 -> Fault.PlatformOutage(lengthMillis)
        1 -> Fault.PlatformSlow(delayMillis = random.nextLong(100, 1_500))
        else -> Fault.PlatformLoseAnswers(count = random.nextInt(1, 6))
    }

    private fun drawKill(): Fault = if (remainingKills-- >
        0
    ) {
        Fault.DaemonKill(random.nextInt(daemonCount))
    } else {
        Fault.DaemonPause(random.nextInt(daemonCount))
    }

    private fun drawTarget(): TargetChoice = TargetChoice(
        databaseIndex = random.nextInt(databaseCount),
        targetIndex = if (random.nextDouble() < PRIMARY_PROBABILITY) null else random.nextInt(targetCount),
    )

    private companion object {
        const val MIN_SURVIVING_DAEMONS = 3
        const val FIRST_FAULT_MILLIS = 2_000L
        const val FAULT_FREE_END_MILLIS = 3_000L
        const val MIN_LENGTH_MILLIS = 500L
        const val MAX_LENGTH_MILLIS = 6_000L
        const val MIN_GAP_MILLIS = 300L
        const val MAX_GAP_MILLIS = 3_000L
        const val PRIMARY_PROBABILITY = 0.6
    }
}
