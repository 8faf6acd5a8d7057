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
 * @param whenAwake calls an action now, or once the host's machine is no longer suspended; answers wait for it
 */
class PartitionableStore(
    private val store: ControlStore,
    private val timers: TimerService,
    private val nextFate: () -> Fate = { Fate() },
    private val whenAwake: (() -> Unit) -> Unit = { it() },
    private val isPartitioned: () -> Boolean,
) : ControlStore {
    override fun read(): Mono<ControlRows> = onMachine(
        Mono.defer { if (isPartitioned()) Mono.error(StoreUnavailableException("partitioned")) else store.read() },
    )

    override fun onRestored(listener: () -> Unit) = store.onRestored { if (!isPartitioned()) listener() }

    override fun write(change: ControlChange): Mono<StoreWrite> = onMachine(Mono.defer { attempt(change) })

    private fun attempt(change: ControlChange): Mono<StoreWrite> {
        if (isPartitioned()) return Mono.just(StoreWrite.Unknown("partitioned"))
        val fate = nextFate()
        return when {
            fate.appliedInMillis > 0 -> {
                timers.after(fate.appliedInMillis) { store.write(change).subscribe() }
                Mono.just(StoreWrite.Unknown("late"))
            }
            fate.isAnswerLost -> store.write(change).map { StoreWrite.Unknown("no answer") }
            fate.answeredInMillis > 0 -> answerLate(change, fate.answeredInMillis)
            else -> store.write(change)
        }
    }

    private fun <T : Any> onMachine(call: Mono<T>): Mono<T> = Mono.create { sink ->
        call.subscribe({ whenAwake { sink.success(it) } }, { whenAwake { sink.error(it) } })
    }

    private fun answerLate(change: ControlChange, millis: Long): Mono<StoreWrite> = Mono.create { sink ->
        store.write(change).subscribe { outcome ->
            timers.after(millis) { if (!isPartitioned()) sink.success(outcome) }
        }
    }

    /** What becomes of one write. One that is applied late has no answer. */
    class Fate(val appliedInMillis: Long = 0, val isAnswerLost: Boolean = false, val answeredInMillis: Long = 0)
}
