package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.core.session.SessionPositions
import dev.cardamomlane.daemon.DatabaseGroup
import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.MalformedMessageException
import dev.cardamomlane.wire.MessageLink
import dev.cardamomlane.wire.MessageListener
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.CorruptedFrameException
import io.netty.handler.codec.TooLongFrameException

/**
 * The session of one caller, from the end of its startup until its connection closes.
 *
 * Runs the caller's units one at a time, in order; see [StatementUnit]. While [MAX_PENDING_UNITS] or more wait, reading
 * from the caller is paused, so that memory is bounded.
 *
 * @param startPosition the position that the caller brings from an earlier session of this database, or null
 */
internal class CallerSession(
    val link: MessageLink,
    val identity: CallerIdentity,
    val group: DatabaseGroup,
    val services: CallerServices,
    startupParameters: Map<String, String>,
    startPosition: LogPosition?,
    private val onEnd: (CallerSession) -> Unit,
) : MessageListener {
    val parameters = SessionParameters(startupParameters)
    private var positions = SessionPositions.of(listOfNotNull(startPosition?.let { LogCommit(group.database, it) }))
    private val planner = UnitPlanner(group.database, identity.customer, services.facts)
    private val assembler = UnitAssembler(services.settings.maxMessageBytes)
    private val pendingUnits = ArrayDeque<StatementUnit>()
    private var running: UnitExecution? = null
    private var draining = false
    private var ended = false

    /**
     * The session's minimum position in the log of [group], which the target of a read must have applied. It covers the
     * session's own acknowledged writes and the position given at startup. Null until a minimum position is known.
     */
    val position: LogPosition? get() = positions.of(group.database)

    var transaction: PinnedTransaction? = null

    /** Whether the caller's transaction was rolled back or lost. Nothing runs until the caller ends it. */
    var isAborted = false
        private set

    val status: TransactionStatus
        get() = when {
            isAborted -> TransactionStatus.FAILED
            transaction == null -> TransactionStatus.IDLE
            transaction?.failed == true -> TransactionStatus.FAILED
            else -> TransactionStatus.OPEN
        }

    override fun onFrame(frame: ByteBuf) {
        val message = FrontendMessage.decode(frame)
        if (message is FrontendMessage.Terminate) {
            frame.release()
            return close()
        }
        val unit = assembler.add(message, frame) ?: return
        pendingUnits.addLast(unit)
        if (pendingUnits.size >= MAX_PENDING_UNITS) link.pauseReads()
        runNext()
    }

    override fun onWritable() {
        running?.onCallerWritable()
    }

    override fun onClosed(cause: Throwable?) {
        if (cause is TooLongFrameException) fail(Refusals.tooLarge(services.settings.maxMessageBytes))
        if (cause is MalformedMessageException || cause is CorruptedFrameException) {
            fail(Refusals.malformed(cause.message.orEmpty()))
        }
        end()
    }

    /** Cancels the unit that runs now, if any. */
    fun cancelRunning() {
        running?.cancel()
    }

    /** Ends the session as soon as it is in no transaction. */
    fun drain() {
        draining = true
        if (running == null) runNext()
    }

    /** Called when the running unit was answered. Starts the next one. */
    fun onExecutionEnded() {
        running = null
        if (pendingUnits.size < MAX_PENDING_UNITS) link.resumeReads()
        runNext()
    }

    /** Answers a unit with [error]. Ends the session if the severity is FATAL. */
    fun answer(error: ServerError) {
        services.meters.onRefused(error.sqlState)
        if (error.severity == "FATAL") return fail(error)
        val out = BackendWriter.error(link.allocator.buffer(), error)
        link.send(BackendWriter.readyForQuery(out, status))
    }

    /**
     * Rolls back the caller's transaction, and refuses statements until the caller ends it, as a server does after an
     * error. Otherwise statements that the caller sent without waiting for answers would run outside the transaction.
     */
    fun abortTransaction() {
        transaction?.let { TransactionCleanup.rollBack(it) }
        transaction = null
        parameters.onTransactionEnd(committedChanges = false)
        isAborted = true
    }

    /** Leaves the aborted transaction and answers [unit], which ended it. */
    fun endAbortedTransaction(unit: StatementUnit) {
        isAborted = false
        val out = link.allocator.buffer()
        AbortedAnswer.write(out, unit)
        link.send(BackendWriter.readyForQuery(out, status))
    }

    /** Remembers [position] in the log of [group], at which a write was acknowledged or which covers all that were. */
    fun remember(position: LogPosition) {
        positions = positions.after(LogCommit(group.database, position))
    }

    /** Sends the position of an acknowledged write to the caller, which may give it when it opens another session. */
    fun reportPosition(position: LogPosition) {
        val text = StartupOptions.format(position, group.database)
        link.send(BackendWriter.parameterStatus(link.allocator.buffer(), POSITION_PARAMETER, text))
    }

    /** Sends [error] to the caller and closes the connection. */
    fun fail(error: ServerError) {
        if (ended) return
        link.send(BackendWriter.error(link.allocator.buffer(), error))
        close()
    }

    private fun close() {
        link.close()
        end()
    }

    private fun runNext() {
        if (running != null || ended) return
        if (draining && transaction == null && !isAborted) return fail(Refusals.draining())
        val unit = pendingUnits.removeFirstOrNull() ?: return
        val rules = services.gate.configuration()?.rules
        if (rules == null) {
            unit.release()
            return fail(Refusals.notReady())
        }
        val execution = UnitExecution(this, unit, planner.plan(unit, rules))
        running = execution
        execution.start()
    }

    private fun end() {
        if (ended) return
        ended = true
        running?.abandon()
        running = null
        transaction?.let { TransactionCleanup.rollBack(it) }
        transaction = null
        assembler.release()
        pendingUnits.forEach { it.release() }
        pendingUnits.clear()
        onEnd(this)
    }

    companion object {
        const val POSITION_PARAMETER = "cardamomlane.position"
        private const val MAX_PENDING_UNITS = 8
    }
}
