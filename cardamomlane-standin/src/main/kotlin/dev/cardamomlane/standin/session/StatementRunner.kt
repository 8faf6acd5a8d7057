package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.PgType
import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.standin.sql.StatementCancel
import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.standin.target.Target
import dev.cardamomlane.wire.Column
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.TransactionStatus
import java.sql.Connection
import java.sql.PreparedStatement
import java.sql.SQLException
import java.util.concurrent.CompletionException
import java.util.concurrent.TimeUnit

/** Runs the statements of one session, one at a time. Blocks the calling thread. */
internal class StatementRunner(
    private val target: Target,
    private val connection: Connection,
    private val settings: SessionSettings,
    private val control: ControlFunction,
) {
    val transaction = Transaction(target, connection)
    val cancel = StatementCancel()

    /**
     * Runs [statement]. Throws [SqlFailure] or [SQLException] if it fails.
     *
     * @param bound the engine's prepared statement with its parameters set, or null to prepare the text
     * @param formats the result formats, as in a Bind message
     */
    fun run(statement: SqlStatement, bound: PreparedStatement?, formats: List<Int>): StatementResult {
        checkTransaction(statement)
        return when (statement.kind) {
            StatementKind.READ, StatementKind.WRITE, StatementKind.DEFINITION -> runData(statement, bound, formats)
            StatementKind.CONTROL -> callControlFunction(statement)
            StatementKind.UNSUPPORTED -> throw SqlFailure(ErrorMapping.unsupported(statement.words.first()))
            StatementKind.SHOW -> show(statement)
            else -> {
                runSessionStatement(statement)
                StatementResult.Done(0)
            }
        }
    }

    /** Throws [SqlFailure] if the transaction has failed and [statement] may not run in a failed transaction. */
    fun checkTransaction(statement: SqlStatement) {
        val failed = transaction.status == TransactionStatus.FAILED
        if (failed && !statement.kind.runsInFailedTransaction) throw SqlFailure(ErrorMapping.failedTransaction)
    }

    private fun runSessionStatement(statement: SqlStatement) {
        val text = statement.text
        when (statement.kind) {
            StatementKind.BEGIN -> begin(text)
            StatementKind.COMMIT -> if (transaction.commit()) settings.discardSaved() else restoreSettings()
            StatementKind.ROLLBACK -> {
                transaction.rollback()
                restoreSettings()
            }
            StatementKind.SAVEPOINT -> transaction.savepoint(statement.lastName())
            StatementKind.ROLLBACK_TO -> transaction.rollbackTo(statement.lastName())
            StatementKind.RELEASE -> transaction.release(statement.lastName())
            StatementKind.SET -> set(SettingStatement.parse(text))
            StatementKind.RESET -> reset(statement)
            else -> Unit
        }
    }

    private fun begin(text: String) {
        if (transaction.status == TransactionStatus.IDLE) settings.save()
        transaction.begin(SettingStatement.characteristics(text, session = false))
    }

    private fun restoreSettings() {
        settings.restore()
        settings["TimeZone"]?.let(::setTimeZone)
    }

    private fun runData(statement: SqlStatement, bound: PreparedStatement?, formats: List<Int>): StatementResult {
        if (statement.kind.writes) checkWritable(statement)
        val timeoutMillis = settings.statementTimeoutMillis
        val startNanos = System.nanoTime()
        try {
            cancel.sleep(target.group.settings.serviceMillis + target.faults.slowMillis)
            if (statement.kind == StatementKind.DEFINITION) return runDdl(statement)
            val prepared = bound ?: connection.prepareStatement(statement.text).apply { closeOnCompletion() }
            val result = transaction.captureChanges { execute(prepared, timeoutMillis, formats) }
            if (bound == null && result is StatementResult.Done) prepared.close()
            return result
        } catch (error: SQLException) {
            val tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
            throw when {
                timeoutMillis > 0 && tookMillis >= timeoutMillis -> SqlFailure(ErrorMapping.timedOut)
                cancel.cancelled -> SqlFailure(ErrorMapping.cancelled)
                else -> error
            }
        }
    }

    private fun execute(prepared: PreparedStatement, timeoutMillis: Long, formats: List<Int>): StatementResult =
        cancel.runCancellable(prepared, timeoutMillis) {
            if (prepared.execute()) {
                StatementResult.Rows(RowCursor(prepared.resultSet, formats))
            } else {
                StatementResult.Done(maxOf(prepared.updateCount, 0).toLong())
            }
        }

    private fun checkWritable(statement: SqlStatement) {
        if (transaction.readOnly || !target.writable) throw SqlFailure(ErrorMapping.readOnly(statement.words.first()))
    }

    // The engine commits before DDL, so the open changes are committed first to keep the order of the log.
    private fun runDdl(statement: SqlStatement): StatementResult {
        transaction.commitChanges()
        if (!target.runDdl(connection, statement.text)) throw SqlFailure(ErrorMapping.readOnly(statement.words.first()))
        return StatementResult.Done(0)
    }

    private fun callControlFunction(statement: SqlStatement): StatementResult = try {
        control.call(statement.text).join()
    } catch (error: CompletionException) {
        throw error.cause ?: error
    }

    private fun show(statement: SqlStatement): StatementResult {
        val words = statement.words.drop(1)
        val name = when {
            words.take(2) == listOf("TRANSACTION", "ISOLATION") -> "transaction_isolation"
            words.take(2) == listOf("TIME", "ZONE") -> "timezone"
            else -> statement.text.trim().substringAfter(' ').trim().lowercase()
        }
        return StatementResult.TextRow(listOf(Column(name, PgType.TEXT.oid)), listOf(settings.show(name)))
    }

    private fun set(setting: SettingStatement) {
        when (setting) {
            is SettingStatement.Characteristics -> transaction.set(setting)
            is SettingStatement.Default -> settings.reset(setting.name)
            is SettingStatement.Assign -> {
                if (setting.name.equals("TimeZone", ignoreCase = true)) setTimeZone(setting.value)
                settings[setting.name] = setting.value
            }
        }
    }

    private fun reset(statement: SqlStatement) {
        val name = statement.text.trim().split(Regex("\\s+")).getOrElse(1) { "ALL" }
        if (name.equals("ALL", ignoreCase = true)) settings.resetAll() else settings.reset(name)
    }

    /** Sets the time zone in which the engine reads and writes times. */
    fun setTimeZone(zone: String) {
        try {
            connection.createStatement().use { it.execute("SET TIME ZONE '${zone.replace("'", "''")}'") }
        } catch (_: SQLException) {
            throw SqlFailure(ServerError("22023", "invalid value for parameter \"TimeZone\": \"$zone\""))
        }
    }

    private fun SqlStatement.lastName(): String = text.trim().split(Regex("\\s+")).last().trim('"').lowercase()
}
