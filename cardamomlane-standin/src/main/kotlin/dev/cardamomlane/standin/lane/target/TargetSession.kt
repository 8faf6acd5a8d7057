package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * One connection to a target: its prepared statements and its transaction. Runs one request after another.
 *
 * The owner of the connection passes each line to [receive] and calls [close] when the connection ends, which rolls an
 * open transaction back. Not safe for use by several threads.
 */
internal class TargetSession(private val target: LaneTarget, private val output: SessionOutput) {
    private val settings = target.group.settings
    private val waitingLines = ArrayDeque<String>()
    private val isWriteByName = HashMap<String, Boolean>()
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
        output.close()
    }

    private fun runNext() {
        val line = waitingLines.removeFirstOrNull() ?: return
        isBusy = true
        if (isOpen) query(line) else open(line)
    }

    private fun open(line: String) {
        val words = line.split(' ')
        val isExpected = words.size >= 3 && words[0] == "START" && words[1] == settings.name &&
            (words.size == 3 || words[3] == target.name)
        when {
            !isExpected -> refuse(PlatformWords.WRONG_TARGET)
            !target.admit(this) -> refuse(PlatformWords.TOO_MANY_CONNECTIONS)
            else -> {
                val isAdmitted = target.slots.submit(settings.connectMillis) {
                    isOpen = true
                    answer("")
                }
                if (!isAdmitted) refuse(PlatformWords.BUSY)
            }
        }
    }

    private fun refuse(code: String) {
        output.write("ERR $code ${target.name}\r\n")
        close()
    }

    private fun query(line: String) {
        if (line == "QUIT") return close()
        val request = LineRequest.parse(line) ?: return fail(PlatformWords.MALFORMED)
        if (request.statementId != LineRequest.NO_ID) target.group.listener.onBegun(target.name, request.statementId)
        when {
            request.after != null && request.after > target.appliedPosition -> fail(PlatformWords.LAGGING)
            transaction?.isFailed == true -> runFailed(request.statement)
            else -> run(request.statementId, request.statement)
        }
    }

    /** A failed transaction can only be ended, which rolls it back. */
    private fun runFailed(statement: LineStatement) {
        val isEnd = statement == LineStatement.Rollback || statement == LineStatement.Commit
        if (isEnd) transaction = null
        if (statement == LineStatement.Rollback) done() else fail(PlatformWords.MALFORMED)
    }

    private fun run(statementId: String, statement: LineStatement) {
        when (statement) {
            is LineStatement.Begin -> begin(statement.isReadOnly)
            LineStatement.Commit -> commit(statementId)
            LineStatement.Rollback -> {
                transaction = null
                done()
            }
            is LineStatement.Read -> read(statementId, statement.item)
            is LineStatement.Write -> write(statementId, statement.item, statement.data)
            is LineStatement.Execute -> execute(statementId, statement)
            is LineStatement.Prepare -> done { isWriteByName[statement.name] = statement.isWrite }
            is LineStatement.Deallocate -> done { isWriteByName -= statement.name }
            LineStatement.Reset -> done { isWriteByName.clear() }
            is LineStatement.Set -> done()
            LineStatement.Status -> status()
            is LineStatement.Demote -> status { target.group.demote(target, statement.term) }
            is LineStatement.Pause -> status { target.pause(statement.term) }
            LineStatement.Resume -> status { target.resume() }
            LineStatement.Malformed -> fail(PlatformWords.MALFORMED)
        }
    }

    private fun begin(isReadOnly: Boolean) {
        when {
            transaction != null -> fail(PlatformWords.MALFORMED)
            !isReadOnly && !target.isPrimary -> fail(PlatformWords.READ_ONLY)
            else -> {
                transaction = SessionTransaction(isReadOnly, target.term)
                done()
            }
        }
    }

    private fun execute(statementId: String, statement: LineStatement.Execute) {
        when (isWriteByName[statement.name]) {
            null -> fail(PlatformWords.UNKNOWN_STATEMENT)
            true -> write(statementId, statement.item, statement.data.orEmpty())
            false -> read(statementId, statement.item)
        }
    }

    private fun read(statementId: String, item: String) = runInSlot {
        target.group.listener.onRead(target.name, statementId, target.lastApplied)
        val data = transaction?.values?.get(item) ?: target.log.value(item, target.appliedCount)
        answerRun(statementId, "ROW ${data ?: "-"}\r\n")
    }

    private fun write(statementId: String, item: String, data: String) = runInSlot {
        val transaction = transaction
        when {
            transaction != null && transaction.isReadOnly -> fail(PlatformWords.READ_ONLY)
            transaction != null -> {
                transaction.write(item, data)
                answerRun(statementId)
            }
            else -> {
                val isCommitted = target.commit(statementId, mapOf(item to data)) { answerRun(statementId) }
                if (!isCommitted) fail(PlatformWords.READ_ONLY)
            }
        }
    }

    /** Calls [action] when the statement has held a slot, unless the transaction can't go on at this target. */
    private fun runInSlot(action: () -> Unit) {
        if (transaction?.hasLost(target) == true) return fail(PlatformWords.READ_ONLY)
        occupySlot(target.statementMillis) {
            if (transaction?.hasLost(target) == true) fail(PlatformWords.READ_ONLY) else action()
        }
    }

    private fun commit(statementId: String) {
        val ending = transaction ?: return fail(PlatformWords.MALFORMED)
        occupySlot(target.statementMillis) {
            transaction = null
            val isCommitted = when {
                ending.values.isEmpty() -> {
                    answerRun(statementId)
                    true
                }
                ending.hasLost(target) -> false
                else -> target.commit(statementId, ending.values) { answerRun(statementId) }
            }
            if (!isCommitted) fail(PlatformWords.READ_ONLY)
        }
    }

    private fun occupySlot(millis: Long, action: () -> Unit) {
        if (target.isRollingBack) return fail(PlatformWords.BUSY)
        val isAdmitted = target.slots.submit(millis + target.group.nextExtraMillis()) { if (!isClosed) action() }
        if (!isAdmitted) fail(PlatformWords.BUSY)
    }

    private fun status(change: () -> Unit = {}) = occupySlot(settings.statusMillis) {
        change()
        val role = if (target.isPrimary) PlatformWords.PRIMARY else PlatformWords.REPLICA
        val lagMillis = if (target.isPrimary) 0 else target.lagMillis
        val received = text(target.receivedPosition.term, target.receivedPosition.offset)
        val load = "${target.slots.busyCount} ${target.connectionCount}"
        answer("ROW $role ${target.term} $received ${target.heldTerm} $lagMillis $load\r\nDONE -\r\n")
    }

    private fun answerRun(statementId: String, rows: String = "") {
        val digest = target.nextDigest()
        target.group.listener.onRun(target.name, statementId, digest)
        if (target.consumeLostAnswer()) {
            target.group.listener.onEvent("target ${target.name} loses an answer")
            close()
        } else {
            answer("${rows}DONE $digest\r\n")
        }
    }

    private fun done(change: () -> Unit = {}) {
        change()
        answer("DONE -\r\n")
    }

    /** A failure makes an open transaction fail, unless the statement was refused before it began. */
    private fun fail(code: String) {
        if (code == PlatformWords.READ_ONLY) transaction?.isFailed = true
        answer("ERR $code ${target.name}\r\n")
    }

    private fun answer(lines: String) {
        if (isClosed) return
        val applied = target.appliedPosition
        output.write("${lines}READY ${state()} ${text(applied.term, applied.offset)}\r\n")
        isBusy = false
        runNext()
    }

    private fun state(): Char = when (transaction?.isFailed) {
        null -> 'I'
        true -> 'E'
        false -> 'T'
    }

    private fun text(term: Long, number: Long) = "$term.$number"
}
