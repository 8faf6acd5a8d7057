package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.ChangeCapture
import dev.cardamomlane.standin.target.CommitOutcome
import dev.cardamomlane.standin.target.Target
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.TransactionStatus
import java.sql.Connection
import java.sql.Savepoint

/** The transaction of one session: implicit for one message group, explicitly opened, or failed. */
internal class Transaction(private val target: Target, private val connection: Connection) {
    private val savepoints = ArrayDeque<ActiveSavepoint>()
    private val capture = ChangeCapture()
    private var sessionReadOnly = false

    @Volatile
    var status = TransactionStatus.IDLE
        private set

    var readOnly = false
        private set

    /** Whether there are uncommitted changes. Other threads read it. */
    @Volatile
    var hasWrites = false
        private set

    fun begin(characteristics: SettingStatement.Characteristics) {
        if (status != TransactionStatus.IDLE) return
        connection.commit()
        status = TransactionStatus.OPEN
        readOnly = characteristics.readOnly ?: sessionReadOnly
        characteristics.isolation?.let(::setIsolation)
    }

    /** Applies SET TRANSACTION or SET SESSION CHARACTERISTICS. */
    fun set(characteristics: SettingStatement.Characteristics) {
        characteristics.readOnly?.let { if (characteristics.session) sessionReadOnly = it }
        characteristics.readOnly?.let { readOnly = it }
        characteristics.isolation?.let(::setIsolation)
    }

    /** Runs [action], the work of one statement, and captures its row changes. A failed statement leaves none. */
    fun <T> captureChanges(action: () -> T): T {
        val before = capture.size
        try {
            return capture.captureDuring(action)
        } catch (error: Exception) {
            capture.truncate(before)
            throw error
        } finally {
            hasWrites = !capture.isEmpty()
        }
    }

    /**
     * Commits, or rolls back a failed transaction. Returns whether it committed.
     *
     * Throws [SqlFailure] if the target was fenced, and [AnswerLostException] if a fault drops the answer.
     */
    fun commit(): Boolean {
        if (status == TransactionStatus.FAILED) {
            rollback()
            return false
        }
        val outcome = target.commit(connection, capture)
        end()
        when (outcome) {
            CommitOutcome.COMMITTED -> return true
            CommitOutcome.REFUSED -> throw SqlFailure(ErrorMapping.fenced)
            CommitOutcome.ANSWER_LOST -> throw AnswerLostException()
        }
    }

    /** Commits the changes so far and leaves the transaction open, as the engine does before DDL. */
    fun commitChanges() {
        savepoints.clear()
        if (target.commit(connection, capture) == CommitOutcome.REFUSED) throw SqlFailure(ErrorMapping.fenced)
        hasWrites = false
    }

    /** Commits the implicit transaction of a message group. Does nothing within an explicit transaction. */
    fun commitImplicit() {
        if (status == TransactionStatus.IDLE) commit()
    }

    fun rollback() {
        connection.rollback()
        capture.drain()
        end()
    }

    /** Marks an explicit transaction as failed, or rolls back an implicit one. */
    fun fail() {
        when {
            status == TransactionStatus.IDLE -> rollback()
            savepoints.isEmpty() -> {
                connection.rollback()
                capture.drain()
                hasWrites = false
                status = TransactionStatus.FAILED
            }
            else -> status = TransactionStatus.FAILED
        }
    }

    fun savepoint(name: String) {
        requireOpen("SAVEPOINT")
        savepoints += ActiveSavepoint(name, connection.setSavepoint(), capture.size)
    }

    fun rollbackTo(name: String) {
        val active = findSavepoint(name)
        while (savepoints.last() !== active) savepoints.removeLast()
        connection.rollback(active.savepoint)
        capture.truncate(active.changeCount)
        hasWrites = !capture.isEmpty()
        status = TransactionStatus.OPEN
    }

    fun release(name: String) {
        val active = findSavepoint(name)
        while (savepoints.removeLast() !== active) Unit
    }

    private fun findSavepoint(name: String): ActiveSavepoint {
        requireOpen("ROLLBACK TO SAVEPOINT")
        return savepoints.findLast { it.name == name }
            ?: throw SqlFailure(ServerError("3B001", "savepoint \"$name\" does not exist"))
    }

    private fun requireOpen(command: String) {
        if (status == TransactionStatus.IDLE) {
            throw SqlFailure(ServerError("25P01", "$command can only be used in transaction blocks"))
        }
    }

    private fun setIsolation(level: String) {
        connection.transactionIsolation = when (level) {
            "repeatable read" -> Connection.TRANSACTION_REPEATABLE_READ
            "serializable" -> Connection.TRANSACTION_SERIALIZABLE
            else -> Connection.TRANSACTION_READ_COMMITTED
        }
    }

    private fun end() {
        status = TransactionStatus.IDLE
        readOnly = sessionReadOnly
        hasWrites = false
        savepoints.clear()
        if (connection.transactionIsolation != Connection.TRANSACTION_READ_COMMITTED) setIsolation("read committed")
    }

    private class ActiveSavepoint(val name: String, val savepoint: Savepoint, val changeCount: Int)
}
