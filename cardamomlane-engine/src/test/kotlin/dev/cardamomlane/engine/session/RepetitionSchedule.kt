package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.FakeTarget
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.statement.CallerAnswer
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import kotlin.random.Random

/**
 * Callers of one host whose targets repeat answers and refuse statements, by [seed]. Answers come again unchanged or
 * with the state and position of that moment, after up to [MAX_DELAY_MILLIS].
 *
 * @param repeatedPercent how many of a hundred answers come again
 * @param refusedPercent how many of a hundred statements are refused or fail
 */
class RepetitionSchedule(seed: Long, private val repeatedPercent: Int, private val refusedPercent: Int) {
    private val random = Random(seed)
    private val fixture = HostFixture()
    private val targets: List<FakeTarget> = listOf("p", "r1", "r2").map(fixture.targets::target)
    private val isRebuilding = random.nextBoolean()
    private val callers: List<ScheduledCaller>

    var repetitionCount = 0
        private set

    /** How many operations were answered to their end. */
    val operationCount: Int get() = answersByOperation().size

    /** How many of them had no error. */
    val servedCount: Int get() = answersByOperation().count { answers -> answers.all { it.error == null } }

    val dialCount: Int get() = fixture.targets.links.size

    init {
        fixture.targets.onAnswer = { link, _, answer ->
            if (random.nextInt(PERCENT) < repeatedPercent) {
                repetitionCount++
                val isRebuilt = isRebuilding && random.nextBoolean()
                fixture.timers.after(random.nextLong(MAX_DELAY_MILLIS)) { link.repeat(answer, isRebuilt) }
            }
        }
        targets.forEach { target -> target.refuses = ::refusal }
        callers = List(CALLERS) { index ->
            val database = listOf("latest", "bounded", "session")[index % 3]
            ScheduledCaller("c$index", fixture, Random(seed * CALLERS + index), "key", 0, database, PAUSE_MILLIS)
        }
    }

    fun run() {
        repeat(STEPS) {
            fixture.timers.advance(STEP_MILLIS)
            fixture.replicate()
        }
    }

    private fun refusal(statement: TargetStatement): ErrorCode? {
        if (random.nextInt(PERCENT) >= refusedPercent) return null
        return when (statement) {
            is TargetStatement.Run, is TargetStatement.Commit -> CODES.random(random)
            is TargetStatement.Begin -> ErrorCode.BUSY
            is TargetStatement.Status -> ErrorCode.BUSY
            else -> null
        }
    }

    private fun answersByOperation(): List<List<CallerAnswer>> = callers
        .flatMap { caller -> caller.statements.groupBy { it.operation }.values }
        .mapNotNull { sent -> sent.map { it.answer ?: return@mapNotNull null } }
        .filter { it.last().state == TransactionState.IDLE }

    /** What callers were told wrongly. */
    fun findings(): List<String> = callers.flatMap { it.findings + foreignAnswers(it) + untrue(it) }

    private fun foreignAnswers(caller: ScheduledCaller): List<String> = caller.statements.mapNotNull { sent ->
        val text = fixture.targets.textOf(sent.answer?.digest)
        val isRun = sent.answer?.error == null && (sent.text.startsWith("READ") || sent.text.startsWith("WRITE"))
        val isOther = text != sent.text && (isRun || text != null)
        "${sent.id} (${sent.text}) got the answer to $text".takeIf { sent.answer != null && isOther }
    }

    private fun untrue(caller: ScheduledCaller): List<String> {
        val counts = targets.flatMap { it.log }.groupingBy { it }.eachCount()
        return caller.operations.flatMap { operation ->
            val allowed = operation.commitCounts ?: 0..1
            operation.writes.filter { (counts[it] ?: 0) !in allowed }
                .map { "$it was committed ${counts[it] ?: 0} times, the caller was told $allowed" }
        }
    }

    private companion object {
        const val CALLERS = 9
        const val PERCENT = 100
        const val MAX_DELAY_MILLIS = 400L
        const val STEPS = 400
        const val STEP_MILLIS = 10L
        val PAUSE_MILLIS = 1..60
        val CODES = listOf(ErrorCode.BUSY, ErrorCode.FAILED, ErrorCode.READ_ONLY, ErrorCode.LAGGING)
    }
}
