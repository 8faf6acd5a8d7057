package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.guarded
import kotlin.random.Random

/**
 * Reads the store's control rows: one read at a time, and not more often than every [MIN_PAUSE_MILLIS], or less often
 * after failures.
 *
 * Not safe for use by several threads.
 */
internal class StoreReader(
    private val timers: TimerService,
    private val table: ControlTable,
    private val log: DecisionLog,
    private val random: Random,
    private val onRows: (ControlRows, Long) -> Unit,
) {
    private var isReading = false
    private var isReadRequested = false
    private var isReadScheduled = false
    private var readAtMillis = GroupRecords.NEVER
    private var pauseMillis = MIN_PAUSE_MILLIS
    private var isUnavailable = false

    /**
     * Reads if a read is requested, or if proof of [provedAtMillis] has grown old. The age is drawn at random for each
     * call, so that hosts don't all read at once.
     */
    fun refresh(provedAtMillis: Long) {
        val ageMillis = timers.nowMillis() - provedAtMillis
        if (isReadRequested || ageMillis > REFRESH_MILLIS + random.nextLong(REFRESH_SPREAD_MILLIS)) read()
    }

    /** Reads now, or as soon as the read under way has ended and the pause since its start has passed. */
    fun read() {
        isReadRequested = true
        if (isReading) return
        val nowMillis = timers.nowMillis()
        val leftMillis = readAtMillis + pauseMillis - nowMillis
        if (leftMillis <= 0) return startRead(nowMillis)
        if (isReadScheduled) return
        isReadScheduled = true
        timers.after(leftMillis) {
            isReadScheduled = false
            if (isReadRequested) read()
        }
    }

    private fun startRead(nowMillis: Long) {
        isReading = true
        isReadRequested = false
        readAtMillis = nowMillis
        val onRead = log.guarded<ControlRows>("store") { onResult(it, nowMillis) }
        table.read().doFinally { onReadEnded() }.subscribe(onRead, ::onFailure)
    }

    private fun onReadEnded() {
        isReading = false
        if (isReadRequested) read()
    }

    private fun onResult(rows: ControlRows, sentAtMillis: Long) {
        if (isUnavailable) log.event("store", "regained")
        isUnavailable = false
        pauseMillis = MIN_PAUSE_MILLIS
        onRows(rows, sentAtMillis)
    }

    private fun onFailure(failure: Throwable) {
        if (!isUnavailable) log.event("store", "lost", "reason", failure.message)
        isUnavailable = true
        pauseMillis = minOf(MAX_PAUSE_MILLIS, pauseMillis * 2) + random.nextLong(MIN_PAUSE_MILLIS)
    }

    private companion object {
        /**
         * Proof of this age is renewed; a random time up to [REFRESH_SPREAD_MILLIS] is added. Their sum must stay
         * below [GroupRecords.MAX_AGE_MILLIS], from which on proof no longer counts.
         */
        const val REFRESH_MILLIS = 450L
        const val REFRESH_SPREAD_MILLIS = 250L

        /** The least time between the starts of two reads, while reads succeed. */
        const val MIN_PAUSE_MILLIS = 100L

        /** With each failure the pause doubles up to this; a random time below [MIN_PAUSE_MILLIS] is added. */
        const val MAX_PAUSE_MILLIS = 500L
    }
}
