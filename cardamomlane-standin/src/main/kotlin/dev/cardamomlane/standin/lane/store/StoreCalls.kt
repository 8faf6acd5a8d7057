package dev.cardamomlane.standin.lane.store

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.standin.lane.time.delay
import dev.cardamomlane.standin.lane.wire.PlatformWords
import reactor.core.publisher.Mono

/**
 * The calls of the platform's store as its protocol describes them, without HTTP and without faults.
 *
 * Not safe for use by several threads.
 */
internal class StoreCalls(
    private val store: RowStore,
    private val timers: TimerService,
    private val queues: PartQueues,
) {
    /** Applies [transaction] after it has waited for its parts. */
    fun transact(transaction: RowTransaction): Mono<StoreAnswer> {
        val refusal = refusal(transaction)
        if (refusal != null) return Mono.just(refusal)
        val waitMillis = queues.enter(transaction.parts)
            ?: return Mono.just(answer(StoreAnswer.TOO_MANY, error = "too many transactions wait for this part"))
        return timers.delay(waitMillis).then(Mono.fromCallable { apply(transaction) })
    }

    private fun refusal(transaction: RowTransaction): StoreAnswer? {
        val written = transaction.upserts + transaction.removals
        return when {
            transaction.entries.size > MAX_ENTRIES -> answer(StoreAnswer.BAD_REQUEST, error = "too many entries")
            transaction.parts.size > 1 && !transaction.isAcrossParts ->
                answer(StoreAnswer.BAD_REQUEST, error = "entries of several parts")
            written.any { it.table in FOREIGN_TABLES } ->
                answer(StoreAnswer.FORBIDDEN, error = "this table is not the system's own")
            else -> null
        }
    }

    private fun apply(transaction: RowTransaction): StoreAnswer = when (val outcome = store.apply(transaction)) {
        is TransactionOutcome.Applied -> answer(StoreAnswer.OK)
        is TransactionOutcome.Conflict -> answer(StoreAnswer.CONFLICT, rows = outcome.rows)
    }

    /** Returns the rows with keys of [from] to before [to]. */
    fun range(table: String, part: String, from: String, to: String?, limit: Int): StoreAnswer {
        val page = store.range(table, part, from, to, limit.coerceIn(1, MAX_ROWS))
        return answer(StoreAnswer.OK, rows = page.rows, hasMore = page.hasMore)
    }

    /** Returns the parts of [table] after [after]. */
    fun parts(table: String, after: String): StoreAnswer =
        answer(StoreAnswer.OK).let { it.copy(body = it.body.copy(parts = store.parts(table, after, MAX_PARTS))) }

    /** Answers with the changes of [table] after [after] as soon as there is one, or with none after [waitMillis]. */
    fun feed(table: String, after: Long, waitMillis: Long): Mono<StoreAnswer> {
        val first = changes(table, after)
        if (first != null || waitMillis <= 0) return Mono.just(first ?: answer(StoreAnswer.OK, rows = emptyList()))
        return Mono.create { sink ->
            val listener = store.onChange { changes(table, after)?.let(sink::success) }
            val timer = timers.after(minOf(waitMillis, MAX_WAIT_MILLIS)) {
                sink.success(answer(StoreAnswer.OK, rows = emptyList()))
            }
            sink.onDispose {
                listener.close()
                timer.cancel()
            }
        }
    }

    /** Returns null while there is nothing to tell. */
    private fun changes(table: String, after: Long): StoreAnswer? {
        if (after < store.historyStart) return answer(StoreAnswer.GONE, error = "the history is discarded")
        val rows = store.changes(table, after)
        return if (rows.isEmpty()) null else answer(StoreAnswer.OK, rows = rows)
    }

    /** Returns an answer with the store's version and clock. */
    fun answer(
        status: Int,
        rows: List<StoreRow>? = null,
        hasMore: Boolean? = null,
        error: String? = null,
    ): StoreAnswer = StoreAnswer(
        status,
        StoreAnswer.Body(store.version, timers.nowMillis(), rows = rows, hasMore = hasMore, error = error),
    )

    companion object {
        const val MAX_ROWS = 500
        private const val MAX_PARTS = 1_000
        private const val MAX_ENTRIES = 100
        private const val MAX_WAIT_MILLIS = 30_000L
        private val FOREIGN_TABLES = setOf(PlatformWords.OPERATOR_TABLE, PlatformWords.TARGET_TABLE)
    }
}
