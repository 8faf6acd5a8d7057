package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.caller.CallerRoute
import dev.cardamomlane.standin.lane.caller.CallerSession
import dev.cardamomlane.standin.lane.record.CallerCommit
import java.io.IOException
import kotlin.random.Random

/**
 * A caller that stays with one host: it uses its session until the session ends, and connects again then.
 *
 * @param maxPauseMillis between two operations
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
) {
    private val route = CallerRoute.entries[number % CallerRoute.entries.size]
    private val record = installation.record
    private var count = 0
    private var sessionName = ""

    /** The first statement of the operation under way, and when it was sent. */
    private var operationId = ""
    private var operationMillis = 0L

    /** Blocks until [isOver] says so. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            try {
                sessionName = "s$number-${record.nowMillis}"
                installation.connect(sessionName, host, customer, route.database, key).use { serve(it, isOver) }
            } catch (e: IOException) {
                record.line("caller s$number: $e")
            }
            Thread.sleep(RECONNECT_MILLIS)
        }
    }

    private fun serve(session: CallerSession, isOver: () -> Boolean) {
        while (session.isOpen && !isOver()) {
            val isLeft = when (random.nextInt(OPERATION_KINDS)) {
                0 -> start(session, read(), isRead = true).isInTransaction
                1 -> start(session, write(), isCommit = true).isInTransaction
                2 -> transact(session)
                else -> readInTransaction(session)
            }
            if (isLeft) return
            Thread.sleep(random.nextLong(maxPauseMillis))
        }
    }

    /** Returns whether the session is left inside a transaction, which ends it. */
    private fun transact(session: CallerSession): Boolean {
        var answer = start(session, "BEGIN")
        var hasWritten = false
        repeat(random.nextInt(1, MAX_STATEMENTS)) {
            if (!answer.isDone) return answer.isInTransaction
            Thread.sleep(random.nextLong(MAX_STATEMENT_PAUSE_MILLIS))
            val isWrite = random.nextBoolean()
            hasWritten = hasWritten || isWrite
            answer = run(session, if (isWrite) write() else read(), isRead = !isWrite)
        }
        if (!answer.isDone) return answer.isInTransaction
        val isRolledBack = random.nextInt(ROLLBACK_SHARE) == 0
        return run(
            session,
            if (isRolledBack) "ROLLBACK" else "COMMIT",
            isCommit = !isRolledBack && hasWritten,
        ).isInTransaction
    }

    private fun readInTransaction(session: CallerSession): Boolean {
        var answer = start(session, "BEGIN READ")
        repeat(random.nextInt(1, MAX_STATEMENTS)) {
            if (!answer.isDone) return answer.isInTransaction
            Thread.sleep(random.nextLong(MAX_STATEMENT_PAUSE_MILLIS))
            answer = run(session, read(), isRead = true)
        }
        return if (answer.isDone) run(session, "COMMIT").isInTransaction else answer.isInTransaction
    }

    private fun read() = "READ ${random.nextInt(ITEMS)}a"

    private fun write() = "WRITE ${random.nextInt(ITEMS)}a v$number-${count++}"

    /** Runs the first statement of an operation. */
    private fun start(
        session: CallerSession,
        text: String,
        isRead: Boolean = false,
        isCommit: Boolean = false,
    ): CallerAnswer {
        operationId = ""
        operationMillis = record.nowMillis
        return run(session, text, isRead, isCommit)
    }

    private fun run(
        session: CallerSession,
        text: String,
        isRead: Boolean = false,
        isCommit: Boolean = false,
    ): CallerAnswer {
        val sentMillis = record.nowMillis
        val answer = session.run(text)
        val endedMillis = record.nowMillis
        if (operationId.isEmpty()) operationId = answer.statementId
        val hostName = installation.hosts[host].plan.name
        history.add(SoakStatement(hostName, key, operationId, isCommit, sentMillis, endedMillis, answer))
        if (isRead) history.add(route.read(answer.statementId, sessionName, operationMillis))
        if (isCommit && answer.isRunByTarget) {
            history.add(CallerCommit(answer.statementId, sessionName, endedMillis))
        }
        return answer
    }

    private companion object {
        const val ITEMS = 20
        const val OPERATION_KINDS = 4
        const val MAX_STATEMENTS = 6
        const val ROLLBACK_SHARE = 6
        const val MAX_PAUSE_MILLIS = 150L
        const val MAX_STATEMENT_PAUSE_MILLIS = 400L
        const val RECONNECT_MILLIS = 200L
    }
}
