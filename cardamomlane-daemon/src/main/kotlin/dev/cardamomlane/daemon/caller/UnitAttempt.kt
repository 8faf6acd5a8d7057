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
 * One unit on one target connection.
 *
 * The messages go out in one batch: the session's parameters, the position check of a read, the unit itself, and the
 * confirmation of a write. The answer of a write is held until its confirmation has come.
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
    private val hold = AnswerHold(untilConfirmed = needsConfirm, pass = { passToCaller(it) })
    private val watch = AttemptWatch(session, place)
    private var state = State.RUNNING
    private var isRetried = false
    private var isStale = false
    private var errored = false
    private var lastTag = ""
    private var endStatus: TransactionStatus? = null
    private var heldReady: ByteBuf? = null
    private var confirmOpen = needsConfirm
    private var confirmed: LogPosition? = null
    private var closeAtEnd = false

    private enum class State { RUNNING, ENDED, ABANDONED }

    fun send() {
        val out = connection.allocator.buffer()
        val segments = mutableListOf<ReplyHandler>()
        session.parameters.restoreSql(connection.parameters)?.let { sql ->
            FrontendWriter.query(out, sql)
            segments += AttemptQueries.restore(onError = { closeAtEnd = true })
        }
        if (place.use != null && !plan.isWrite) {
            FrontendWriter.query(out, AttemptQueries.POSITION)
            segments += AttemptQueries.position { answer -> onPosition(answer) }
        }
        val encoder = UnitEncoder(out, connection.prepared)
        encoder.write(unit, plan)
        val client = CallerReplyHandler(encoder.expected, this)
        segments += client
        if (needsConfirm) {
            FrontendWriter.query(out, AttemptQueries.confirm(services.settings.confirmTimeoutMillis))
            segments += AttemptQueries.confirmation(
                onConfirmed = { confirmed = it },
                onReady = { onConfirmReady() },
                onLost = { onConfirmLost() },
            )
        }
        connection.send(out, segments)
        client.start()
    }

    /** The caller has gone: the answer is dropped when it comes, and a read is cancelled. */
    fun abandon() {
        if (state != State.RUNNING) return
        state = State.ABANDONED
        hold.drop()
        heldReady?.release()
        heldReady = null
        connection.resumeReads()
        if (!plan.isWrite && !plan.commits) cancel()
    }

    fun cancel() {
        services.probe.cancel(place.lane.target, connection.processId, connection.secretKey)
    }

    fun resumeReads() = watch.onCallerWritable()

    fun onTick(nowMillis: Long) {
        if (state == State.RUNNING) watch.onTick(nowMillis, isConfirming = heldReady != null)
    }

    override fun onFrame(frame: ByteBuf) {
        if (state != State.RUNNING || isRetried || isStale) {
            frame.release()
            return
        }
        when (BackendMessage.typeOf(frame)) {
            'E' -> if (takeError(frame)) return
            'C' -> lastTag = (BackendMessage.decode(frame) as BackendMessage.CommandComplete).tag
        }
        hold.add(frame)
    }

    override fun onReady(frame: ByteBuf) {
        val status = (BackendMessage.decode(frame) as BackendMessage.ReadyForQuery).status
        endStatus = status
        place.entry?.let { place.lane.finish(it) }
        val isLive = state == State.RUNNING && !isRetried && !isStale
        if (isLive) keepState(status)
        val waits = isLive && needsConfirm && !errored && status == TransactionStatus.IDLE
        if (waits) {
            heldReady = frame
            watch.onConfirming()
            return
        }
        settle()
        when {
            isLive -> answer(frame)
            else -> {
                frame.release()
                if (state == State.RUNNING) {
                    end { listener.onNotRun(place.lane.target, exclude = isStale && !place.onPrimary) }
                }
            }
        }
    }

    override fun onLost(cause: Throwable?) {
        place.entry?.let { place.lane.finish(it) }
        watch.onEnd()
        val target = place.lane.target
        val reason = cause?.message ?: "closed by the target"
        Logger.info("request: the connection to {} was lost: {}", target, reason)
        session.group.observe(TargetEvent.Failed(target, "connection lost: $reason"))
        hold.drop()
        if (state != State.RUNNING) return
        if (place.transaction != null) loseTransaction()
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
        refusedByTarget = isRetried,
        discardedAsStale = isStale,
        repeatable = plan.isRepeatable,
        inTransaction = place.transaction != null,
        answered = hold.hasPassed,
    )

    private fun onPosition(answer: PositionAnswer) {
        val use = place.use ?: return
        session.group.observe(TargetEvent.Applied(use.target, answer.applied))
        if (isFreshEnough(answer, use.requirement, watch.sentAtMillis)) return
        isStale = true
        services.meters.onStale()
    }

    /** Returns true if the error means that the unit did not run and goes to another target. */
    private fun takeError(frame: ByteBuf): Boolean {
        errored = true
        if (place.transaction != null || hold.hasPassed) return false
        val error = (BackendMessage.decode(frame) as BackendMessage.ErrorResponse).error
        val notPrimary = error.sqlState == READ_ONLY_STATE && place.onPrimary && !plan.beginsReadOnly
        if (notPrimary) session.group.observe(TargetEvent.NotPrimary(place.lane.target))
        if (!notPrimary && error.detail != Refusals.NOT_RUN) return false
        isRetried = true
        hold.drop()
        frame.release()
        return true
    }

    private fun keepState(status: TransactionStatus) {
        if (!errored) plan.executed.forEach { session.parameters.onChanged(it) }
        if (status == TransactionStatus.IDLE) {
            val keepsChanges = if (plan.commits) lastTag == "COMMIT" else !errored && !plan.rollsBack
            session.parameters.onTransactionEnd(committedChanges = keepsChanges)
            connection.parameters = session.parameters.committed
            session.transaction = null
            return
        }
        val transaction = session.transaction
            ?: PinnedTransaction(place.lane, connection, place.term, place.onPrimary, plan.beginsReadOnly)
        transaction.failed = status == TransactionStatus.FAILED
        transaction.hasWritten = transaction.hasWritten || plan.isWrite
        session.transaction = transaction
    }

    private fun answer(ready: ByteBuf) {
        hold.passHeld()
        passToCaller(ready)
        countAnswer()
        end { listener.onAnswered() }
    }

    private fun onConfirmReady() {
        confirmOpen = false
        settle()
        val ready = heldReady ?: return
        heldReady = null
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
        session.position = maxOf(position, session.position ?: position)
        session.group.observe(TargetEvent.Acknowledged(place.lane.target, position))
        session.tellPosition(position)
        answer(ready)
    }

    private fun onConfirmLost() {
        confirmOpen = false
        watch.onEnd()
        heldReady?.release() ?: return
        heldReady = null
        if (state == State.RUNNING) failUnconfirmed("the connection was lost before the write was confirmed")
    }

    private fun failUnconfirmed(reason: String) {
        hold.drop()
        end { listener.onFailed(Refusals.outcomeUnknown(reason)) }
    }

    private fun loseTransaction() {
        session.transaction = null
        if (plan.endsTransaction) {
            session.parameters.onTransactionEnd(
                committedChanges = false,
            )
        } else {
            session.abortTransaction()
        }
    }

    /** Returns the connection once no answer on it is open. */
    private fun settle() {
        val status = endStatus ?: return
        if (confirmOpen) return
        watch.onEnd()
        if (!connection.isOpen) return
        when {
            closeAtEnd -> connection.close()
            status == TransactionStatus.IDLE -> place.lane.release(connection)
            state == State.ABANDONED || isRetried || isStale -> TransactionEnd.rollBack(
                PinnedTransaction(place.lane, connection, place.term, place.onPrimary, readOnly = false),
            )
        }
    }

    private fun passToCaller(frame: ByteBuf) {
        session.link.send(frame)
        if (!session.link.isWritable) watch.onCallerFull()
    }

    private fun countAnswer() {
        if (plan.isWrite) services.meters.onWrite()
        if (plan.isCharged && !plan.isWrite) services.meters.onRead(replica = place.use?.role == TargetRole.REPLICA)
    }

    private inline fun end(tell: () -> Unit) {
        state = State.ENDED
        tell()
    }

    private companion object {
        const val READ_ONLY_STATE = "25006"
        const val CONNECTION_LOST = "the connection to the target was lost"
    }
}
