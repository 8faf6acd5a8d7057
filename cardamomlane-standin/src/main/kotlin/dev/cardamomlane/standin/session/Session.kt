package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.standin.sql.StatementKind
import dev.cardamomlane.standin.target.Target
import dev.cardamomlane.standin.target.TargetSession
import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.tinylog.kotlin.Logger
import java.sql.SQLException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicInteger

/**
 * One client's session on a target. Handles one [MessageGroup] at a time and answers each with one buffer.
 *
 * @param slotlessExecutor runs work that needs no slot
 * @param close closes the network connection
 */
internal class Session(
    private val target: Target,
    val settings: SessionSettings,
    override val isControl: Boolean,
    private val slotlessExecutor: Executor,
    private val close: () -> Unit,
) : TargetSession {
    private val control = ControlFunction(target, slotlessExecutor)
    private val connection = target.engine.connect().apply { autoCommit = false }
    private val runner = StatementRunner(target, connection, settings, control)
    private val extended = ExtendedProtocol(runner, connection, ::writeReportedSettings)
    private var lastReported = settings.reported
    private var busy = false
    private var ended = false
    private val pendingWork = AtomicInteger()

    /** Whether the session was silenced: it sends nothing and ignores what it receives. */
    @Volatile
    var silent: Boolean = false
        private set

    override val hasWrites: Boolean get() = runner.transaction.hasWrites

    @Volatile
    override var processId: Int = 0

    override val isActive: Boolean get() = pendingWork.get() > 0

    private val status: TransactionStatus get() = runner.transaction.status

    init {
        settings["TimeZone"]?.let(runner::setTimeZone)
        connection.commit()
    }

    /** Cancels the running statement. */
    fun cancel() {
        runner.cancel.cancel()
    }

    /** Handles [group] and completes with its answers. */
    fun run(group: MessageGroup): CompletableFuture<ByteBuf> = when (group) {
        is MessageGroup.Simple -> group.control?.let(::runControl)
            ?: submit(group.takesSlot) { out -> runSimple(group.statements, out) }
        is MessageGroup.Extended -> submit(extended.takesSlot(group)) { out -> extended.run(group, out) }
        MessageGroup.Terminate -> CompletableFuture.completedFuture(Unpooled.EMPTY_BUFFER)
    }

    override fun drop() {
        close()
        end()
    }

    override fun silence() {
        silent = true
        end()
    }

    /** Rolls back the transaction and closes the engine connection, once no statement of the session is running. */
    fun end() {
        val idle = synchronized(this) {
            val first = !ended
            ended = true
            first && !busy
        }
        target.sessions.remove(this)
        if (idle) slotlessExecutor.execute(::release)
    }

    private fun submit(takesSlot: Boolean, work: (ByteBuf) -> Unit): CompletableFuture<ByteBuf> {
        runner.cancel.reset()
        pendingWork.incrementAndGet()
        val guarded = { if (startWork()) answer(work) else Unpooled.EMPTY_BUFFER }
        val answer = if (takesSlot &&
            !isControl
        ) {
            target.slots.submit(guarded)
        } else {
            CompletableFuture.supplyAsync(guarded, slotlessExecutor)
        }
        return answer.whenComplete { _, _ -> pendingWork.decrementAndGet() }
    }

    private fun answer(work: (ByteBuf) -> Unit): ByteBuf {
        try {
            return Unpooled.buffer().also(work)
        } finally {
            finishWork()
        }
    }

    /** Marks the session as busy. Returns false if it has ended. */
    private fun startWork(): Boolean = synchronized(this) {
        busy = !ended
        busy
    }

    private fun finishWork() {
        val release = synchronized(this) {
            busy = false
            ended
        }
        if (release) release()
    }

    private fun release() {
        try {
            runner.transaction.rollback()
            connection.close()
        } catch (error: SQLException) {
            Logger.debug("target: {} closed its engine before a session was released: {}", target.name, error.message)
        }
    }

    private fun runControl(statement: SqlStatement): CompletableFuture<ByteBuf> =
        control.call(statement.text).handle { result, error ->
            val out = Unpooled.buffer()
            if (error == null) {
                ResultWriter.write(out, result, statement, describe = true)
            } else {
                BackendWriter.error(out, ErrorMapping.of(error.cause ?: error))
            }
            BackendWriter.readyForQuery(out, status)
        }

    private fun runSimple(statements: List<SqlStatement>, out: ByteBuf) {
        if (statements.isEmpty()) BackendWriter.emptyQueryResponse(out)
        try {
            statements.forEachIndexed { index, statement ->
                runSimple(statement, last = index == statements.lastIndex, out)
            }
        } catch (lost: AnswerLostException) {
            throw lost
        } catch (error: Exception) {
            runner.transaction.fail()
            BackendWriter.error(out, ErrorMapping.of(error))
        }
        BackendWriter.readyForQuery(out, status)
    }

    private fun runSimple(statement: SqlStatement, last: Boolean, out: ByteBuf) {
        val failed = status == TransactionStatus.FAILED
        val result = runner.run(statement, bound = null, formats = emptyList())
        val rows = ResultWriter.writeRows(out, result, describe = true)
        if (last) runner.transaction.commitImplicit()
        writeReportedSettings(statement, out)
        val tag = if (failed && statement.kind == StatementKind.COMMIT) "ROLLBACK" else statement.tag(rows)
        BackendWriter.commandComplete(out, tag)
    }

    private fun writeReportedSettings(statement: SqlStatement, out: ByteBuf) {
        if (statement.kind != StatementKind.SET && statement.kind != StatementKind.RESET) return
        val reported = settings.reported
        for ((name, value) in reported) {
            if (lastReported[name] != value) BackendWriter.parameterStatus(out, name, value)
        }
        lastReported = reported
    }
}
