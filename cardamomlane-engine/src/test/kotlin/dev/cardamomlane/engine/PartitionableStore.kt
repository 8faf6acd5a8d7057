package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.ControlChange
import dev.cardamomlane.engine.fleet.ControlRows
import dev.cardamomlane.engine.fleet.ControlStore
import dev.cardamomlane.engine.fleet.StoreUnavailableException
import dev.cardamomlane.engine.fleet.StoreWrite
import reactor.core.publisher.Mono

/**
 * The store as one host sees it: out of reach while [isPartitioned] returns true.
 *
 * @param nextFate decides what becomes of the next write
 */
class PartitionableStore(
    private val store: ControlStore,
    private val timers: TimerService,
    private val nextFate: () -> Fate = { Fate() },
    private val isPartitioned: () -> Boolean,
) : ControlStore {
    override fun read(): Mono<ControlRows> =
        Mono.defer { if (isPartitioned()) Mono.error(StoreUnavailableException("partitioned")) else store.read() }

    override fun onRestored(listener: () -> Unit) = store.onRestored { if (!isPartitioned()) listener() }

    override fun write(change: ControlChange): Mono<StoreWrite> = Mono.defer {
        if (isPartitioned()) return@defer Mono.just(StoreWrite.Unknown("partitioned"))
        val fate = nextFate()
        when {
            fate.appliedInMillis > 0 -> {
                timers.after(fate.appliedInMillis) { store.write(change).subscribe() }
                Mono.just(StoreWrite.Unknown("late"))
            }
            fate.isAnswerLost -> store.write(change).map { StoreWrite.Unknown("no answer") }
            fate.answeredInMillis > 0 -> answerLate(change, fate.answeredInMillis)
            else -> store.write(change)
        }
    }

    private fun answerLate(change: ControlChange, millis: Long): Mono<StoreWrite> = Mono.create { sink ->
        store.write(change).subscribe { outcome ->
            timers.after(millis) { if (!isPartitioned()) sink.success(outcome) }
        }
    }

    /** What becomes of one write. One that is applied late has no answer. */
    class Fate(val appliedInMillis: Long = 0, val isAnswerLost: Boolean = false, val answeredInMillis: Long = 0)
}
