package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.caller.CallerSession
import java.io.IOException
import kotlin.random.Random

/**
 * A caller that stays with one host: it uses its session until the session ends, and connects again then.
 *
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
) {
    private val record = installation.record
    private var count = 0

    /** Blocks until [isOver] says so. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            try {
                installation.connect("s$number", host, customer, key = key).use { serve(it, isOver) }
            } catch (e: IOException) {
                record.line("caller s$number: $e")
            }
            Thread.sleep(RECONNECT_MILLIS)
        }
    }

    private fun serve(session: CallerSession, isOver: () -> Boolean) {
        while (session.isOpen && !isOver()) {
            val isLeft = when (random.nextInt(OPERATION_KINDS)) {
                0 -> run(session, read(), isCommit = false).isInTransaction
                1 -> run(session, write(), isCommit = true).isInTransaction
                else -> transact(session)
            }
            if (isLeft) return
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    /** Returns whether the session is left inside a transaction, which ends it. */
    private fun transact(session: CallerSession): Boolean {
        var answer = run(session, "BEGIN", isCommit = false)
        var hasWritten = false
        repeat(random.nextInt(1, MAX_STATEMENTS)) {
            if (!answer.isDone) return answer.isInTransaction
            Thread.sleep(random.nextLong(MAX_STATEMENT_PAUSE_MILLIS))
            val isWrite = random.nextBoolean()
            hasWritten = hasWritten || isWrite
            answer = run(session, if (isWrite) write() else read(), isCommit = false)
        }
        if (!answer.isDone) return answer.isInTransaction
        val isRolledBack = random.nextInt(ROLLBACK_SHARE) == 0
        return run(
            session,
            if (isRolledBack) "ROLLBACK" else "COMMIT",
            isCommit = !isRolledBack && hasWritten,
        ).isInTransaction
    }

    private fun read() = "READ ${number}a"

    private fun write() = "WRITE ${number}a v${count++}"

    private fun run(session: CallerSession, text: String, isCommit: Boolean): CallerAnswer {
        val sentMillis = record.nowMillis
        val answer = session.run(text)
        val hostName = installation.hosts[host].plan.name
        history.add(SoakStatement(hostName, key, isCommit, sentMillis, record.nowMillis, answer))
        return answer
    }

    private companion object {
        const val OPERATION_KINDS = 3
        const val MAX_STATEMENTS = 6
        const val ROLLBACK_SHARE = 6
        const val MAX_PAUSE_MILLIS = 150L
        const val MAX_STATEMENT_PAUSE_MILLIS = 400L
        const val RECONNECT_MILLIS = 200L
    }
}
