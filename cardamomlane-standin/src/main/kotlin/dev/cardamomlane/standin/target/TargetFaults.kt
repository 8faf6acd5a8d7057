package dev.cardamomlane.standin.target

import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import java.util.concurrent.atomic.AtomicInteger

/** The faults of one target, each switched while it runs. Safe for use by several threads. */
internal class TargetFaults(@Volatile var lagMillis: Long) {
    @Volatile
    var slowMillis: Long = 0

    @Volatile
    var partitionedFromPeers: Boolean = false

    @Volatile
    var crashed: Boolean = false

    @Volatile
    private var callerPartition: Sinks.Empty<Void>? = null

    private val answersToLose = AtomicInteger()

    val partitionedFromCallers: Boolean get() = callerPartition != null
    val loseAnswers: Int get() = answersToLose.get()

    /** Holds all traffic of callers back until [healCallers]. */
    fun partitionCallers() {
        if (callerPartition == null) callerPartition = Sinks.empty()
    }

    fun healCallers() {
        val partition = callerPartition
        callerPartition = null
        partition?.tryEmitEmpty()
    }

    /** Completes at once, or when the cut from callers ends. */
    fun awaitCallersHealed(): Mono<Void> = callerPartition?.asMono() ?: Mono.empty()

    fun loseAnswers(count: Int) {
        answersToLose.set(count)
    }

    /** Takes one answer to lose, if there is one left. */
    fun consumeLostAnswer(): Boolean = answersToLose.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
