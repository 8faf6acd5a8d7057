package dev.cardamomlane.standin.target

import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import java.util.concurrent.atomic.AtomicInteger

/**
 * The faults injected into one target. Each can be changed while the target runs. Safe for use by several threads.
 *
 * @property lagMillis how long a replica waits between receiving and applying a record
 */
internal class TargetFaults(@Volatile var lagMillis: Long) {
    /** Added to the service time of each statement. */
    @Volatile
    var slowMillis: Long = 0

    /** Whether replication to and from this target is interrupted. */
    @Volatile
    var partitionedFromPeers: Boolean = false

    @Volatile
    var crashed: Boolean = false

    @Volatile
    private var callerPartition: Sinks.Empty<Void>? = null

    private val answersToLose = AtomicInteger()

    val partitionedFromCallers: Boolean get() = callerPartition != null
    val loseAnswers: Int get() = answersToLose.get()

    /** Delays all traffic on client connections until [healCallers]. */
    fun partitionCallers() {
        if (callerPartition == null) callerPartition = Sinks.empty()
    }

    fun healCallers() {
        val partition = callerPartition
        callerPartition = null
        partition?.tryEmitEmpty()
    }

    /** Completes when no partition from callers exists: at once, or at [healCallers]. */
    fun awaitCallersHealed(): Mono<Void> = callerPartition?.asMono() ?: Mono.empty()

    /** Loses the answers to the next [count] commits of row changes. */
    fun loseAnswers(count: Int) {
        answersToLose.set(count)
    }

    /** Returns whether the current answer must be lost, and if so decrements [loseAnswers]. */
    fun consumeLostAnswer(): Boolean = answersToLose.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
