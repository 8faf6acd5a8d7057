package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.log.DecisionLog
import kotlin.random.Random

/**
 * Reads the store's control rows, one question at a time, and not more often than its bounds allow.
 *
 * Not safe for use by several threads.
 */
internal class StoreReading(
    private val timers: TimerService,
    private val store: ControlStore,
    private val log: DecisionLog,
    private val random: Random,
    private val onRows: (ControlRows, Long) -> Unit,
) {
    private var isAsking = false
    private var isWanted = false
    private var askedAtMillis = GroupRecords.NEVER
    private var pauseMillis = MIN_PAUSE_MILLIS
    private var isLost = false

    /** Reads if the proof of [provedAtMillis] has grown old. Hosts differ in when they find it old. */
    fun refresh(provedAtMillis: Long) {
        val ageMillis = timers.nowMillis() - provedAtMillis
        if (isWanted || ageMillis > REFRESH_MILLIS + random.nextLong(REFRESH_SPREAD_MILLIS)) read()
    }

    /** Reads soon. */
    fun read() {
        isWanted = true
        val nowMillis = timers.nowMillis()
        if (isAsking || nowMillis - askedAtMillis < pauseMillis) return
        ask(nowMillis)
    }

    private fun ask(nowMillis: Long) {
        isAsking = true
        isWanted = false
        askedAtMillis = nowMillis
        store.read().doFinally { isAsking = false }.subscribe({ onAnswer(it, nowMillis) }, ::onFailure)
    }

    private fun onAnswer(rows: ControlRows, sentAtMillis: Long) {
        if (isLost) log.event("store", "regained")
        isLost = false
        pauseMillis = MIN_PAUSE_MILLIS
        onRows(rows, sentAtMillis)
    }

    private fun onFailure(failure: Throwable) {
        if (!isLost) log.event("store", "lost", "reason", failure.message)
        isLost = true
        pauseMillis = minOf(MAX_PAUSE_MILLIS, pauseMillis * 2) + random.nextLong(MIN_PAUSE_MILLIS)
    }

    private companion object {
        const val REFRESH_MILLIS = 450L
        const val REFRESH_SPREAD_MILLIS = 250L
        const val MIN_PAUSE_MILLIS = 100L
        const val MAX_PAUSE_MILLIS = 500L
    }
}
