package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.caller.CallerRoute
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.load.LoadSession
import dev.cardamomlane.standin.lane.load.OddText
import dev.cardamomlane.standin.lane.record.CallerCommit
import java.io.IOException
import kotlin.random.Random

/**
 * A caller that stays with one host: it uses its session until the session ends, and connects again then.
 *
 * @param maxPauseMillis between two operations
 * @param writesRarely whether it nearly always reads
 * @param key of the caller, which it keeps also when the key is withdrawn
 */
internal class SoakCaller(
    private val installation: LaneInstallation,
    private val number: Int,
    private val host: Int,
    private val customer: Int,
    private val key: String,
    private val history: SoakHistory,
    private val random: Random,
    private val maxPauseMillis: Long = MAX_PAUSE_MILLIS,
    private val writesRarely: Boolean = false,
) {
    private val database = CallerRoute.entries[number % CallerRoute.entries.size].database
    private val record = installation.record
    private val texts = OddText(random, ODD_SHARE)
    private var sessionName = ""

    /** The first statement of the operation under way, and when it was sent. */
    private var operationId = ""
    private var operationMillis = 0L

    /** Blocks until [isOver] says so. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            try {
                sessionName = "s$number-${record.nowMillis}"
                installation.connect(sessionName, host, customer, database, key).use { open(it, isOver) }
            } catch (e: IOException) {
                record.line("caller s$number: $e")
            }
            Thread.sleep(RECONNECT_MILLIS)
        }
    }

    private fun open(opened: CallerSession, isOver: () -> Boolean) {
        if (!opened.isOpen) return history.sent.onRefused(opened.refusal ?: "closed")
        val session = LoadSession(opened, sessionName, texts, random, installation.ids, history.sent)
        if (session.prepare()) serve(session, isOver) else history.sent.onRefused("values or plans")
    }

    private fun serve(session: LoadSession, isOver: () -> Boolean) {
        while (session.isOpen && !isOver()) {
            session.begin()
            val isReading = writesRarely && random.nextInt(RARE_WRITE_SHARE) > 0
            val isLeft = when (random.nextInt(OPERATION_KINDS)) {
                0 -> start(isRead = true, action = session::read).isInTransaction
                1 -> readInTransaction(session)
                2 -> if (isReading) readInTransaction(session) else transact(session)
                3 -> if (isReading) readInTransaction(session) else writeAndRead(session)
                else -> {
                    val action = if (isReading) session::read else session::write
                    start(isRead = isReading, isCommit = !isReading, action = action).isInTransaction
                }
            }
            if (isLeft || (random.nextInt(CHANGE_SHARE) == 0 && !session.change())) return
            Thread.sleep(random.nextLong(maxPauseMillis))
        }
    }

    /** Writes, and reads in a transaction that writes nothing at once after it. */
    private fun writeAndRead(session: LoadSession): Boolean {
        if (start(isCommit = true, action = session::write).isInTransaction) return true
        if (!session.isOpen) return false
        session.begin()
        return readInTransaction(session)
    }

    /** Returns whether the session is left inside a transaction, which ends it. */
    private fun transact(session: LoadSession): Boolean {
        var answer = start { session.beginTransaction(isReadOnly = false) }
        var hasWritten = false
        repeat(random.nextInt(1, MAX_STATEMENTS)) {
            if (!answer.isDone) return leave(session, answer)
            Thread.sleep(random.nextLong(MAX_STATEMENT_PAUSE_MILLIS))
            val isWrite = random.nextBoolean()
            hasWritten = hasWritten || isWrite
            answer = next(isRead = !isWrite, action = if (isWrite) session::write else session::read)
        }
        if (!answer.isDone) return leave(session, answer)
        val isRolledBack = random.nextInt(ROLLBACK_SHARE) == 0
        val isCommit = !isRolledBack && hasWritten
        return next(isCommit = isCommit) { session.endTransaction(!isRolledBack) }.isInTransaction
    }

    /** Ends a transaction in which [answer] was a failure, most times by a rollback. Returns whether it is left open. */
    private fun leave(session: LoadSession, answer: CallerAnswer): Boolean {
        if (!answer.isInTransaction || !session.isOpen ||
            random.nextInt(LEAVE_SHARE) == 0
        ) {
            return answer.isInTransaction
        }
        return next { session.endTransaction(isCommit = false) }.isInTransaction
    }

    private fun readInTransaction(session: LoadSession): Boolean {
        var answer = start { session.beginTransaction(isReadOnly = true) }
        repeat(random.nextInt(1, MAX_STATEMENTS)) {
            if (!answer.isDone) return leave(session, answer)
            Thread.sleep(random.nextLong(MAX_STATEMENT_PAUSE_MILLIS))
            answer = next(isRead = true, action = session::read)
        }
        if (answer.isDone) answer = next { session.endTransaction(isCommit = true) }
        return answer.isInTransaction
    }

    /** Runs the first statement of an operation. */
    private fun start(isRead: Boolean = false, isCommit: Boolean = false, action: () -> CallerAnswer): CallerAnswer {
        operationId = ""
        operationMillis = record.nowMillis
        return next(isRead, isCommit, action)
    }

    private fun next(isRead: Boolean = false, isCommit: Boolean = false, action: () -> CallerAnswer): CallerAnswer {
        val sentMillis = record.nowMillis
        val answer = action()
        val endedMillis = record.nowMillis
        if (operationId.isEmpty()) operationId = answer.statementId
        val hostName = installation.hosts[host].plan.name
        history.add(
            SoakStatement(
                host = hostName,
                key = key,
                session = sessionName,
                database = database,
                operationId = operationId,
                operationMillis = operationMillis,
                isRead = isRead,
                isCommit = isCommit,
                sentMillis = sentMillis,
                endedMillis = endedMillis,
                answer = answer,
            ),
        )
        if (isCommit && answer.isRunByTarget) {
            history.add(CallerCommit(answer.statementId, sessionName, endedMillis))
        }
        return answer
    }

    private companion object {
        const val ODD_SHARE = 0.2
        const val CHANGE_SHARE = 12
        const val RARE_WRITE_SHARE = 12
        const val OPERATION_KINDS = 5
        const val MAX_STATEMENTS = 6
        const val ROLLBACK_SHARE = 6
        const val LEAVE_SHARE = 5
        const val MAX_PAUSE_MILLIS = 150L
        const val MAX_STATEMENT_PAUSE_MILLIS = 400L
        const val RECONNECT_MILLIS = 200L
    }
}
