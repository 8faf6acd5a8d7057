package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.log.guarded

/**
 * Takes a seat for this host as [SeatPolicy] decides, and gives back seats that it holds by mistake.
 *
 * Not safe for use by several threads.
 */
internal class SeatKeeper(
    private val self: Member,
    private val policy: SeatPolicy,
    private val table: ControlTable,
    private val reader: StoreReader,
    private val timers: TimerService,
    private val log: DecisionLog,
) {
    private var isRegistering = false
    private var isReadScheduled = false

    /**
     * Takes a seat if one is due, given [rows] that were just read.
     *
     * @param isStranded see [SeatPolicy.claim], as for [unusableSeats]
     */
    fun onRows(rows: Collection<MemberRow>, isStranded: Boolean, unusableSeats: Map<Int, Long> = emptyMap()) {
        takeSeat(rows, isStranded, unusableSeats)
        for (row in policy.surplus(rows)) {
            log.event("fleet", "surplus_seat_vacated", "seat", row.seat)
            table.writeSeat(SeatChange(row.seat, member = null, row.version)).subscribe({}, { failure ->
                log.event("fleet", "surplus_seat_kept", "seat", row.seat, "reason", failure.message)
            })
        }
    }

    private fun takeSeat(rows: Collection<MemberRow>, isStranded: Boolean, unusableSeats: Map<Int, Long>) {
        if (isRegistering) return
        val nowMillis = timers.nowMillis()
        val claim = policy.claim(rows, isStranded, nowMillis, unusableSeats) ?: return readAgainWhenDue(nowMillis)
        isRegistering = true
        table.writeSeat(SeatChange(claim.seat, self, claim.expectedVersion)).doFinally { isRegistering = false }
            .subscribe(
                log.guarded("fleet") { outcome ->
                    log.event("fleet", "registration", "seat", claim.seat, "outcome", outcome)
                    reader.read()
                },
                { failure -> log.event("fleet", "registration_failed", "reason", failure.message) },
            )
    }

    private fun readAgainWhenDue(nowMillis: Long) {
        val delayMillis = policy.dueInMillis(nowMillis) ?: return
        if (isReadScheduled) return
        isReadScheduled = true
        timers.after(delayMillis) {
            isReadScheduled = false
            reader.read()
        }
    }
}
