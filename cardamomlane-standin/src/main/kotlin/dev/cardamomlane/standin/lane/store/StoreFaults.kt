package dev.cardamomlane.standin.lane.store

/**
 * The faults injected into the store. Each can be changed at any time.
 *
 * Not safe for use by several threads.
 *
 * @property outage how calls fail now; null while the store is available
 * @property slowMillis added to each call before its effect
 */
internal class StoreFaults {
    var outage: StoreOutage? = null
    var slowMillis: Long = 0
    private var answersToLose = 0
    private var writesToDelay = 0
    private var lateMillis = 0L

    /** Loses the answers to the next [count] writes, which take effect. */
    fun loseAnswers(count: Int) {
        answersToLose = count
    }

    /** Gives the next [count] writes no answer; they take effect [millis] late if their preconditions hold then. */
    fun delayWrites(count: Int, millis: Long) {
        writesToDelay = count
        lateMillis = millis
    }

    /** Returns whether the answer to the present write must be lost, and counts it. */
    fun consumeLostAnswer(): Boolean = (answersToLose > 0).also { if (it) answersToLose-- }

    /** Returns by how many milliseconds the present write is late, or null if it isn't, and counts it. */
    fun consumeLateWrite(): Long? {
        if (writesToDelay == 0) return null
        writesToDelay--
        return lateMillis
    }

    /** Ends all faults. */
    fun heal() {
        outage = null
        slowMillis = 0
        answersToLose = 0
        writesToDelay = 0
    }
}
