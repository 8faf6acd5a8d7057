package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.HostFixture
import kotlin.random.Random

/**
 * Steps the time of day of hosts' machines and suspends machines, at times drawn from a seed. Looks for hosts that take
 * what they know to be from the future.
 */
internal class ClockFaults(private val fixture: HostFixture, seed: Int) {
    private val random = Random(seed * SEED_FACTOR)
    private val found = LinkedHashSet<String>()

    /** A line for each host that had something dated in the future. */
    val findings: List<String> get() = found.toList()

    /** Injects a fault in some of the calls. Called every few milliseconds, with the primary of the moment. */
    fun tick(primary: String) {
        checkDates()
        if (random.nextInt(FAULT_TICKS) != 0) return
        when (random.nextInt(4)) {
            0 -> stepSome(forward = true)
            1 -> stepSome(forward = false)
            2 -> suspend(isHidden = random.nextBoolean())
            else -> suspendWithoutPrimary(primary)
        }
    }

    /** The time of day steps on some machines, and perhaps back after a while. */
    private fun stepSome(forward: Boolean) {
        val millis = random.nextLong(MIN_STEP_MILLIS, MAX_STEP_MILLIS) * if (forward) 1 else -1
        val isReturning = random.nextBoolean()
        for (index in fixture.hosts.indices.filter { random.nextInt(3) == 0 }) {
            val machine = fixture.machine("host-$index")
            machine.step(millis)
            if (isReturning) fixture.timers.after(random.nextLong(MAX_STEP_MILLIS)) { machine.step(-millis) }
        }
    }

    /** A machine is suspended. If [isHidden], its time of day steps back by as much meanwhile. */
    private fun suspend(isHidden: Boolean): String {
        val name = "host-${random.nextInt(fixture.hosts.size)}"
        val millis = random.nextLong(MAX_SUSPENSION_MILLIS)
        fixture.machine(name).suspend(millis)
        if (isHidden) fixture.machine(name).step(-millis)
        return name
    }

    /** While a machine is suspended the other hosts lose the primary, and replace it unless they regain it first. */
    private fun suspendWithoutPrimary(primary: String) {
        val suspended = suspend(isHidden = random.nextBoolean())
        for (index in fixture.hosts.indices) {
            if ("host-$index" != suspended) fixture.targets.partitionedPaths += "host-$index/$primary"
        }
    }

    private fun checkDates() {
        fixture.hosts.forEachIndexed { index, host ->
            if (fixture.machine("host-$index").isSuspended) return@forEachIndexed
            if (host.futureHeartbeatCount > 0) found += "host-$index got a heartbeat from the future"
            if (host.proofAgeMillis() < 0) found += "host-$index holds proof from the future"
            val positionAgesMillis = host.groupStatuses(fixture.machine("host-$index").nowMillis())
                .map { it.positionAgeMillis }
            if (positionAgesMillis.any { it < UNKNOWN_AGE }) found += "host-$index knows a position from the future"
        }
    }

    private companion object {
        const val SEED_FACTOR = 7_919

        /** On average one fault in this many ticks. */
        const val FAULT_TICKS = 60
        const val MIN_STEP_MILLIS = 300L
        const val MAX_STEP_MILLIS = 5_000L
        const val MAX_SUSPENSION_MILLIS = 6_000L
        const val UNKNOWN_AGE = -1L
    }
}
