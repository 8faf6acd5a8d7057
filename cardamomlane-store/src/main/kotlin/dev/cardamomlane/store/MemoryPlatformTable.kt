package dev.cardamomlane.store

import dev.cardamomlane.core.TimerService
import kotlinx.collections.immutable.toImmutableList
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.util.TreeMap

/**
 * A [PlatformTable] in memory for tests, which can inject faults. Safe for use by several threads.
 *
 * @param timers the timers by which operations are delayed; without timers [delayMillis] has no effect
 */
public class MemoryPlatformTable(private val timers: TimerService? = null) : PlatformTable {
    private val rows = TreeMap<String, Row>()
    private val appliedByToken = HashMap<String, List<ConditionalWrite>>()

    /** While true, every operation fails before it has any effect. */
    @Volatile
    public var down: Boolean = false

    /** How many of the next writes take effect but fail, as if their answers were lost. */
    @Volatile
    public var answersToLose: Int = 0

    /** How many of the next operations fail before they have any effect. */
    @Volatile
    public var requestsToLose: Int = 0

    /** The time from an operation's request to its effect and answer. */
    @Volatile
    public var delayMillis: Long = 0

    /** The number of operations so far, including failed ones. */
    @Volatile
    public var operationCount: Int = 0
        private set

    override fun get(key: String): Mono<Row> {
        RowKeys.requireValid(key)
        return delayed { Mono.justOrEmpty(rows[key]) }
    }

    override fun scan(prefix: String): Flux<Row> {
        require('/' in prefix) { "prefix \"$prefix\" must contain a slash" }
        return delayed {
            Mono.just(rows.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) })
        }.flatMapIterable { it }
    }

    override fun write(writes: List<ConditionalWrite>, token: String): Mono<WriteOutcome> {
        WriteRequests.requireValid(writes, token)
        return delayed {
            val outcome = apply(writes, token)
            if (answersToLose > 0) {
                answersToLose--
                Mono.error(PlatformUnavailableException("the answer to a write was lost"))
            } else {
                Mono.just(outcome)
            }
        }
    }

    private fun apply(writes: List<ConditionalWrite>, token: String): WriteOutcome {
        val applied = appliedByToken[token]
        if (applied != null) {
            require(applied == writes) { "token \"$token\" was used for other writes" }
            return WriteOutcome.Applied
        }
        val conflicts = writes.filter { (rows[it.key]?.version ?: ConditionalWrite.ABSENT) != it.expectedVersion }
        if (conflicts.isNotEmpty()) return WriteOutcome.Conflict(conflicts.map { it.key }.toImmutableList())
        writes.forEach(::applyOne)
        appliedByToken[token] = writes
        return WriteOutcome.Applied
    }

    private fun applyOne(write: ConditionalWrite) {
        val value = write.value
        if (value == null) {
            rows.remove(write.key)
        } else {
            rows[write.key] = Row(write.key, write.expectedVersion + 1, value)
        }
    }

    private fun <T : Any> delayed(operation: () -> Mono<T>): Mono<T> = Mono.defer {
        val millis = delayMillis
        val answer = Mono.defer { withFaults(operation) }
        if (timers == null || millis == 0L) answer else after(timers, millis).then(answer)
    }

    private fun after(timers: TimerService, millis: Long): Mono<Void> = Mono.create { sink ->
        val subscription = timers.after(millis) { sink.success() }
        sink.onCancel { subscription.cancel() }
    }

    private fun <T : Any> withFaults(operation: () -> Mono<T>): Mono<T> = synchronized(rows) {
        operationCount++
        if (down) return Mono.error(PlatformUnavailableException("the platform is down"))
        if (requestsToLose > 0) {
            requestsToLose--
            return Mono.error(PlatformUnavailableException("a request to the platform was lost"))
        }
        operation()
    }
}
