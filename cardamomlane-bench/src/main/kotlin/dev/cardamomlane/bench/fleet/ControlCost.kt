package dev.cardamomlane.bench.fleet

/** What control of a simulated fleet has cost since the last [reset], summed over all hosts. */
internal class ControlCost {
    var messages = 0L
    var bytes = 0L
    var reads = 0L
    var leaseScans = 0L
    var writes = 0L

    /** The number of proposed revisions. */
    var changes = 0L

    /** The time that hosts spent in the fleet machine and in encoding and decoding messages. */
    var cpuNanos = 0L

    /** Runs [work] and adds the elapsed time to [cpuNanos]. */
    inline fun <T> timed(work: () -> T): T {
        val startNanos = System.nanoTime()
        val result = work()
        cpuNanos += System.nanoTime() - startNanos
        return result
    }

    fun reset() {
        messages = 0
        bytes = 0
        reads = 0
        leaseScans = 0
        writes = 0
        changes = 0
        cpuNanos = 0
    }
}
