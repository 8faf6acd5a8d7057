package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.group.PositionAnswer
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.isFreshEnough
import dev.cardamomlane.core.retry.AttemptFacts
import dev.cardamomlane.core.retry.AttemptOutcome
import dev.cardamomlane.core.retry.outcomeOf
import dev.cardamomlane.daemon.TargetEvent
import dev.cardamomlane.daemon.target.CallerReplyHandler
import dev.cardamomlane.daemon.target.CallerReplySink
import dev.cardamomlane.daemon.target.ReplyHandler
import dev.cardamomlane.wire.BackendMessage
import dev.cardamomlane.wire.FrontendWriter
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import org.tinylog.kotlin.Logger

/**
 * One attempt to run a unit on one target connection.
 *
 * All messages are sent in one batch, without waiting for answers: the session's parameters, the position check of a
 * read, the unit itself, and the confirmation query of a write. The answer of a write is held until a majority of the
 * targets has confirmed it.
 */
internal class UnitAttempt(
    private val session: CallerSession,
    private val unit: StatementUnit,
    private val plan: UnitPlan,
    private val place: AttemptPlace,
    private val listener: AttemptListener,
) : CallerReplySink {
    private val services = session.services
    private val connection = place.connection
    private val needsConfirm = plan.needsConfirm(place.transaction)
    private val buffer = AnswerBuffer(untilConfirmed = needsConfirm, send = { sendToCaller(it) })
    private val monitor = AttemptMonitor(session, place)
    private var state = State.RUNNING
    private var isRefusedByTarget = false

    /** Whether the answer must be discarded, because the position check before it failed; see [isFreshEnough]. */
    private var isStale = false
    private var hasError = false
    private var lastTag = ""
    private var endStatus: TransactionStatus? = null

    /** The ReadyForQuery that ended the unit, while the confirmation of its write is awaited. Owned by this object. */
    private var heldReadyForQuery: ByteBuf? = null
    private var isConfirmationPending = needsConfirm
    private var confirmed: LogPosition? = null

    /** Set if the session parameters could not be restored, so that the connection has unknown ones. */
    private var closeWhenDone = false

    private enum class State { RUNNING, ENDED, ABANDONED }

    fun send() {
        val out = connection.allocator.buffer()
        val replyHandlers = mutableListOf<ReplyHandler>()
        session.parameters.restoreSql(connection.parameters)?.let { sql ->
            FrontendWriter.query(out, sql)
            replyHandlers += AttemptQueries.restore(onError = { closeWhenDone = true })
        }
        if (place.route != null && !plan.isWrite) {
            FrontendWriter.query(out, AttemptQueries.POSITION)
            replyHandlers += AttemptQueries.position { answer -> onPosition(answer) }
        }
        val encoder = UnitEncoder(out, connection.prepared)
        encoder.write(unit, plan)
        val callerReplies = CallerReplyHandler(encoder.expected, this)
        replyHandlers += callerReplies
        if (needsConfirm) {
            FrontendWriter.query(out, AttemptQueries.confirm(services.settings.confirmTimeoutMillis))
            replyHandlers += AttemptQueries.confirmation(
                onConfirmed = { confirmed = it },
                onReady = { onConfirmReady() },
                onLost = { onConfirmLost() },
            )
        }
        connection.send(out, replyHandlers)
        callerReplies.start()
    }

    /** Gives up because the caller has disconnected. The answer is dropped when it arrives, and a read is cancelled. */
    fun abandon() {
        if (state != State.RUNNING) return
        state = State.ABANDONED
        buffer.drop()
        heldReadyForQuery?.release()
        heldReadyForQuery = null
        connection.resumeReads()
        if (!plan.isWrite && !plan.commits) cancel()
    }

    fun cancel() {
        connection.isCancelled = true
        services.probe.cancel(place.dispatcher.target, connection.processId, connection.secretKey)
    }

    fun resumeReads() = monitor.onCallerWritable()

    fun onTick(nowMillis: Long) {
        if (state == State.RUNNING) monitor.onTick(nowMillis, isConfirming = heldReadyForQuery != null)
    }

    override fun onFrame(frame: ByteBuf) {
        if (state != State.RUNNING || isRefusedByTarget || isStale) {
            frame.release()
            return
        }
        when (BackendMessage.typeOf(frame)) {
            'E' -> if (handleError(frame)) return
            'C' -> lastTag = (BackendMessage.decode(frame) as BackendMessage.CommandComplete).tag
        }
        buffer.add(frame)
    }

    override fun onReady(frame: ByteBuf) {
        val status = (BackendMessage.decode(frame) as BackendMessage.ReadyForQuery).status
        endStatus = status
        place.entry?.let { place.dispatcher.finish(it) }
        val isUsable = state == State.RUNNING && !isRefusedByTarget && !isStale
        if (isUsable) updateSession(status)
        val awaitsConfirmation = isUsable && needsConfirm && !hasError && status == TransactionStatus.IDLE
        if (awaitsConfirmation) {
            heldReadyForQuery = frame
            monitor.onConfirming()
            return
        }
        releaseConnection()
        when {
            isUsable -> answer(frame)
            else -> {
                frame.release()
                if (state == State.RUNNING) {
                    val target = place.dispatcher.target
                    val isBehind = isStale && place.onPrimary
                    end { if (isBehind) listener.onBehind(target) else listener.onNotRun(target, exclude = isStale) }
                }
            }
        }
    }

    override fun onLost(cause: Throwable?) {
        place.entry?.let { place.dispatcher.finish(it) }
        monitor.onEnd()
        val target = place.dispatcher.target
        val reason = cause?.message ?: "closed by the target"
        Logger.info("request: the connection to {} was lost: {}", target, reason)
        session.group.observe(TargetEvent.Failed(target, "connection lost: $reason"))
        buffer.drop()
        if (state != State.RUNNING) return
        if (place.transaction != null) onTransactionLost()
        end {
            when (outcomeOf(facts())) {
                AttemptOutcome.NOT_RUN -> listener.onNotRun(target, exclude = true)
                AttemptOutcome.REPEAT -> listener.onRepeatable(target, CONNECTION_LOST)
                AttemptOutcome.UNKNOWN, AttemptOutcome.TRANSACTION_LOST ->
                    listener.onFailed(Refusals.outcomeUnknown(CONNECTION_LOST))
            }
        }
    }

    private fun facts() = AttemptFacts(
        sent = true,
        refusedByTarget = isRefusedByTarget,
        discardedAsStale = isStale,
        repeatable = plan.isRepeatable,
        inTransaction = place.transaction != null,
        answered = buffer.hasSent,
    )

    private fun onPosition(answer: PositionAnswer) {
        val route = place.route ?: return
        session.group.observe(TargetEvent.Applied(route.target, answer.applied))
        if (isFreshEnough(answer, route.requirement, monitor.sentAtMillis)) return
        isStale = true
        services.meters.onStale()
    }

    /** Returns true, and releases [frame], if the error means that the unit did not run and may be sent again. */
    private fun handleError(frame: ByteBuf): Boolean {
        hasError = true
        if (place.transaction != null || buffer.hasSent) return false
        val error = (BackendMessage.decode(frame) as BackendMessage.ErrorResponse).error
        val notPrimary = error.sqlState == READ_ONLY_SQL_STATE && place.onPrimary && !plan.beginsReadOnly
        if (notPrimary) session.group.observe(TargetEvent.NotPrimary(place.dispatcher.target))
        if (!notPrimary && error.detail != Refusals.NOT_RUN) return false
        isRefusedByTarget = true
        buffer.drop()
        frame.release()
        return true
    }

    /** Applies the end of the unit to the session's parameters and transaction. */
    private fun updateSession(status: TransactionStatus) {
        if (!hasError) plan.executed.forEach { session.parameters.onChanged(it) }
        if (status == TransactionStatus.IDLE) {
            // The COMMIT of a failed transaction is answered with the tag ROLLBACK.
            val keepsChanges = if (plan.commits) lastTag == "COMMIT" else !hasError && !plan.rollsBack
            session.parameters.onTransactionEnd(committedChanges = keepsChanges)
            connection.parameters = session.parameters.committed
            session.transaction = null
            return
        }
        val transaction = session.transaction
            ?: PinnedTransaction(place.dispatcher, connection, place.term, place.onPrimary, plan.beginsReadOnly)
        transaction.failed = status == TransactionStatus.FAILED
        transaction.hasWritten = transaction.hasWritten || plan.isWrite
        session.transaction = transaction
    }

    private fun answer(ready: ByteBuf) {
        buffer.flush()
        sendToCaller(ready)
        recordMetrics()
        end { listener.onAnswered() }
    }

    private fun onConfirmReady() {
        isConfirmationPending = false
        releaseConnection()
        val ready = heldReadyForQuery ?: return
        heldReadyForQuery = null
        val position = confirmed
        when {
            position != null -> acknowledge(position, ready)
            else -> {
                ready.release()
                failUnconfirmed("the write was not confirmed by a majority of the targets")
            }
        }
    }

    private fun acknowledge(position: LogPosition, ready: ByteBuf) {
        session.remember(position)
        session.group.observe(TargetEvent.Acknowledged(place.dispatcher.target, position))
        session.reportPosition(position)
        answer(ready)
    }

    private fun onConfirmLost() {
        isConfirmationPending = false
        monitor.onEnd()
        heldReadyForQuery?.release() ?: return
        heldReadyForQuery = null
        if (state == State.RUNNING) failUnconfirmed("the connection was lost before the write was confirmed")
    }

    private fun failUnconfirmed(reason: String) {
        buffer.drop()
        end { listener.onFailed(Refusals.outcomeUnknown(reason)) }
    }

    private fun onTransactionLost() {
        session.transaction = null
        if (plan.endsTransaction) {
            session.parameters.onTransactionEnd(
                committedChanges = false,
            )
        } else {
            session.abortTransaction()
        }
    }

    /**
     * Gives the connection up once all answers on it have arrived. With an open transaction it stays with the session,
     * or is rolled back if the session does not use the answer.
     */
    private fun releaseConnection() {
        val status = endStatus ?: return
        if (isConfirmationPending) return
        monitor.onEnd()
        if (!connection.isOpen) return
        when {
            closeWhenDone -> connection.close()
            status == TransactionStatus.IDLE -> place.dispatcher.release(connection)
            state == State.ABANDONED || isRefusedByTarget || isStale -> TransactionCleanup.rollBack(
                PinnedTransaction(place.dispatcher, connection, place.term, place.onPrimary, readOnly = false),
            )
        }
    }

    private fun sendToCaller(frame: ByteBuf) {
        session.link.send(frame)
        if (!session.link.isWritable) monitor.onCallerUnwritable()
    }

    private fun recordMetrics() {
        if (plan.isWrite) services.meters.onWrite()
        if (plan.usesRate && !plan.isWrite) services.meters.onRead(replica = place.route?.role == TargetRole.REPLICA)
    }

    private inline fun end(notify: () -> Unit) {
        state = State.ENDED
        notify()
    }

    private companion object {
        const val READ_ONLY_SQL_STATE = "25006"
        const val CONNECTION_LOST = "the connection to the target was lost"
    }
}
