package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.line.Line
import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * One connection to a target: its values, its prepared statements and its transaction. Runs one request after another.
 *
 * The owner of the connection passes each line to [receive] and calls [close] when the connection ends, which rolls an
 * open transaction back. Not safe for use by several threads.
 */
internal class TargetSession(private val target: LaneTarget, output: SessionOutput) {
    private val group = target.group
    private val settings = group.settings
    private val faults = group.answerFaults
    private val answers = TargetAnswers(output, faults, group.timers, ::stateLine)
    private val number = group.nextConnection()
    private val waitingLines = ArrayDeque<String>()
    private val plans = HashMap<String, PreparedPlan>()
    private var values = emptyMap<String, String>()
    private var transaction: SessionTransaction? = null
    private var isOpen = false
    private var isBusy = false
    private var isClosed = false

    /** Handles one line of the caller, without its line break. */
    fun receive(line: String) {
        if (isClosed) return
        waitingLines += line
        if (!isBusy) runNext()
    }

    /** Ends the session. Calling this again has no effect. */
    fun close() {
        if (isClosed) return
        isClosed = true
        transaction = null
        target.remove(this)
        answers.close()
    }

    private fun runNext() {
        val line = waitingLines.removeFirstOrNull() ?: return
        isBusy = true
        if (isOpen) query(line) else open(line)
    }

    private fun open(line: String) {
        val fields = line.takeIf { Line.word(it) == "START" }?.let { Line.fields(it, 3) ?: Line.fields(it, 2) }
        val isExpected =
            fields != null && fields[0] == settings.name && fields.getOrElse(2) { target.name } == target.name
        when {
            !isExpected -> refuse(PlatformWords.WRONG_TARGET)
            !target.admit(this) -> refuse(PlatformWords.TOO_MANY_CONNECTIONS)
            else -> {
                val isAdmitted = target.slots.submit(settings.connectMillis) {
                    isOpen = true
                    answer(AnswerKind.CONNECTION, "")
                }
                if (!isAdmitted) refuse(PlatformWords.BUSY)
            }
        }
    }

    private fun refuse(code: String) {
        answers.refuse(code, target.name)
        close()
    }

    private fun query(line: String) {
        if (line == "QUIT") return close()
        val request = LineRequest.parse(line)
        if (request == null) {
            group.listener.onEvent("target ${target.name} gets a line that is no request: $line")
            return fail(PlatformWords.MALFORMED)
        }
        if (request.statementId != LineRequest.NO_ID) group.listener.onBegun(target.name, request.statementId)
        when {
            request.after != null && request.after > target.appliedPosition -> fail(PlatformWords.LAGGING)
            transaction?.isFailed == true -> runFailed(request.statement)
            else -> run(request, request.statement)
        }
    }

    /** A failed transaction can only be ended, which rolls it back. */
    private fun runFailed(statement: LineStatement) {
        val isEnd = statement == LineStatement.Rollback || statement == LineStatement.Commit
        if (isEnd) transaction = null
        if (statement == LineStatement.Rollback) done() else fail(PlatformWords.MALFORMED)
    }

    private fun run(request: LineRequest, statement: LineStatement) {
        when (statement) {
            is LineStatement.Begin -> runOrFail(request) { begin(statement.isReadOnly) }
            LineStatement.Commit -> commit(request)
            LineStatement.Rollback -> done { transaction = null }
            is LineStatement.Read -> read(request, statement.item)
            is LineStatement.Write -> write(request, statement.item, statement.data)
            is LineStatement.Execute -> execute(request, statement)
            is LineStatement.Prepare -> done { plans[statement.name] = statement.plan }
            is LineStatement.Deallocate -> done { plans -= statement.name }
            LineStatement.Reset -> done {
                plans.clear()
                values = emptyMap()
            }
            is LineStatement.Set -> done { values = values + (statement.name to statement.value) }
            LineStatement.Status -> status()
            is LineStatement.Demote -> status { group.demote(target, statement.term) }
            is LineStatement.Pause -> status { target.pause(statement.term) }
            LineStatement.Resume -> status { target.resume() }
            LineStatement.Malformed -> malformed(request)
        }
    }

    private fun malformed(request: LineRequest) {
        group.listener.onEvent(
            "target ${target.name} gets ${request.statementId} that is no statement: ${request.text}",
        )
        fail(PlatformWords.MALFORMED)
    }

    private fun begin(isReadOnly: Boolean) {
        when {
            transaction != null -> fail(PlatformWords.MALFORMED)
            !isReadOnly && !target.isPrimary -> fail(PlatformWords.READ_ONLY)
            else -> done { transaction = SessionTransaction(group.nextTransaction(), isReadOnly, target.term) }
        }
    }

    private fun execute(request: LineRequest, statement: LineStatement.Execute) {
        val plan = plans[statement.name]
        when {
            plan == null -> {
                group.listener.onEvent("target ${target.name} knows no plan for ${request.statementId} ${request.text}")
                fail(PlatformWords.UNKNOWN_STATEMENT)
            }
            plan.isWrite -> {
                val item = statement.arguments.substringBefore(' ')
                write(request, item, statement.arguments.substringAfter(' ', missingDelimiterValue = ""), plan)
            }
            else -> read(request, statement.arguments, plan)
        }
    }

    private fun read(request: LineRequest, item: String, plan: PreparedPlan? = null) = runInSlot(request) {
        group.listener.onRead(target.name, request.statementId, target.lastApplied)
        val data = transaction?.values?.get(item) ?: target.log.value(item, target.appliedCount)
        answerRun(request, content(request, plan, faults.rowsOf(data)))
    }

    private fun write(request: LineRequest, item: String, data: String, plan: PreparedPlan? = null) =
        runInSlot(request) {
            val transaction = transaction
            val content = content(request, plan)
            when {
                transaction != null && transaction.isReadOnly -> fail(PlatformWords.READ_ONLY)
                transaction != null -> {
                    transaction.write(item, data)
                    answerRun(request, content)
                }
                else -> {
                    val isCommitted = target.commit(request.statementId, mapOf(item to data)) {
                        answerRun(request, content)
                    }
                    if (!isCommitted) fail(PlatformWords.READ_ONLY)
                }
            }
        }

    /** Calls [action] when the statement has held a slot, unless the transaction can't go on at this target. */
    private fun runInSlot(request: LineRequest, action: () -> Unit) {
        if (transaction?.hasLost(target) == true) return fail(PlatformWords.READ_ONLY)
        occupySlot(target.statementMillis) {
            if (transaction?.hasLost(target) == true) fail(PlatformWords.READ_ONLY) else runOrFail(request, action)
        }
    }

    private fun commit(request: LineRequest) {
        val ending = transaction ?: return fail(PlatformWords.MALFORMED)
        val content = content(request, plan = null)
        occupySlot(target.statementMillis) {
            runOrFail(request) {
                transaction = null
                val isCommitted = when {
                    ending.values.isEmpty() -> {
                        answerRun(request, content)
                        true
                    }
                    ending.hasLost(target) -> false
                    else -> target.commit(request.statementId, ending.values) { answerRun(request, content) }
                }
                if (!isCommitted) fail(PlatformWords.READ_ONLY)
            }
        }
    }

    /** Calls [action], unless the statement must be refused. */
    private fun runOrFail(request: LineRequest, action: () -> Unit) {
        val code = faults.nextError(hasPosition = request.after != null)
        if (code == null) action() else fail(code)
    }

    private fun occupySlot(millis: Long, action: () -> Unit) {
        if (target.isRollingBack) return fail(PlatformWords.BUSY)
        val isAdmitted = target.slots.submit(millis + group.nextExtraMillis()) { if (!isClosed) action() }
        if (!isAdmitted) fail(PlatformWords.BUSY)
    }

    private fun status(change: () -> Unit = {}) = occupySlot(settings.statusMillis) {
        change()
        val role = if (target.isPrimary) PlatformWords.PRIMARY else PlatformWords.REPLICA
        val lagMillis = if (target.isPrimary) 0 else target.lagMillis
        val received = text(target.receivedPosition.term, target.receivedPosition.offset)
        val load = "${target.slots.busyCount} ${target.connectionCount}"
        val row = Line.of("ROW", "$role ${target.term} $received ${target.heldTerm} $lagMillis $load")
        answer(AnswerKind.CONNECTION, row + Line.of("DONE", "-"))
    }

    private fun content(request: LineRequest, plan: PreparedPlan?, rows: List<String> = emptyList()) =
        RunContent(request.text, plan, values, number, transaction?.number, rows)

    private fun answerRun(request: LineRequest, content: RunContent) {
        val digest = target.nextDigest()
        group.listener.onRun(target.name, request.statementId, digest, content)
        if (target.consumeLostAnswer()) {
            group.listener.onEvent("target ${target.name} loses an answer")
            close()
        } else if (target.isAnswerDropped()) {
            group.listener.onEvent("target ${target.name} drops an answer")
        } else {
            val rows = content.rows.joinToString("") { Line.of("ROW", it) }
            answer(AnswerKind.RUN, rows + Line.of("DONE", digest))
        }
    }

    private fun done(change: () -> Unit = {}) {
        change()
        answer(AnswerKind.CONNECTION, Line.of("DONE", "-"))
    }

    /** A failure makes an open transaction fail, unless the statement was refused before it began. */
    private fun fail(code: String) {
        if (code == PlatformWords.READ_ONLY || code == PlatformWords.FAILED) transaction?.isFailed = true
        answer(AnswerKind.ERROR, Line.of("ERR", code, target.name))
    }

    private fun answer(kind: AnswerKind, lines: String) {
        if (isClosed) return
        answers.send(kind, lines)
        isBusy = false
        runNext()
    }

    private fun stateLine(): String {
        val state = when (transaction?.isFailed) {
            null -> "I"
            true -> "E"
            false -> "T"
        }
        val applied = target.appliedPosition
        return Line.of("READY", state, text(applied.term, applied.offset))
    }

    private fun text(term: Long, number: Long) = "$term.$number"
}
