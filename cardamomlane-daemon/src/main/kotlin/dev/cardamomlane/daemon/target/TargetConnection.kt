package dev.cardamomlane.daemon.target

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.wire.BackendMessage
import dev.cardamomlane.wire.MalformedMessageException
import dev.cardamomlane.wire.MessageListener
import dev.cardamomlane.wire.OpenSession
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.tinylog.kotlin.Logger

/**
 * One open connection to a target.
 *
 * Groups of messages may be sent without waiting for the replies to earlier ones. Each group has a [ReplyHandler]; the
 * handlers receive the replies in the order of the groups. A connection on which a reply is still expected is never
 * given to another caller.
 *
 * Only their order tells which group replies belong to. So the connection is aborted when a reply comes that no group
 * expects, or a ReadyForQuery before the replies that it ends: all later ones could be another group's.
 *
 * @param onClosed called once when the connection has closed, before [ReplyHandler.onLost] of the pending handlers
 */
internal class TargetConnection(
    val id: Long,
    val target: TargetId,
    private val session: OpenSession,
    private val timers: TimerService,
    private val onClosed: (TargetConnection) -> Unit,
) : MessageListener {
    private val pendingHandlers = ArrayDeque<ReplyHandler>()

    val prepared = PreparedNames()

    /** The session parameters that were set on this connection: their values as SQL text, by lower-case name. */
    var parameters: PersistentMap<String, String> = persistentMapOf()

    /** Whether a cancel request was sent for this connection, which may reach the target at any later moment. */
    var isCancelled = false

    /** When the last frame arrived, or messages were last sent while no reply was expected; monotonic milliseconds. */
    var lastActivityMillis: Long = timers.nowMillis()
        private set

    val processId: Int get() = session.processId
    val secretKey: Int get() = session.secretKey
    val serverParameters: Map<String, String> get() = session.parameters
    val allocator: ByteBufAllocator get() = session.link.allocator
    val isOpen: Boolean get() = session.link.isOpen
    val isIdle: Boolean get() = pendingHandlers.isEmpty()

    fun start() = session.listen(this)

    /** Sends [messages]. [replyHandlers] receive the replies, one handler for each ReadyForQuery. */
    fun send(messages: ByteBuf, replyHandlers: List<ReplyHandler>) {
        if (pendingHandlers.isEmpty()) lastActivityMillis = timers.nowMillis()
        pendingHandlers.addAll(replyHandlers)
        session.link.send(messages)
    }

    fun pauseReads() = session.link.pauseReads()

    fun resumeReads() = session.link.resumeReads()

    fun close() = session.link.close()

    /** Closes the connection at once and calls [ReplyHandler.onLost] of all handlers that still expect replies. */
    fun abort(cause: Throwable) {
        session.link.abort()
        onClosed(cause)
    }

    override fun onFrame(frame: ByteBuf) {
        lastActivityMillis = timers.nowMillis()
        val type = BackendMessage.typeOf(frame)
        val handler = pendingHandlers.firstOrNull()
        val isInOrder = if (handler == null) type in UNASKED else type != 'Z' || handler.isReplied
        if (handler == null || !isInOrder) {
            frame.release()
            if (!isInOrder) abortOutOfOrder(type)
            return
        }
        if (type == 'Z') pendingHandlers.removeFirst()
        try {
            handler.onFrame(frame)
        } catch (error: MalformedMessageException) {
            abort(error)
        }
    }

    private fun abortOutOfOrder(type: Char) {
        Logger.warn("target: Closing a connection to {}, message '{}' came out of order.", target, type)
        abort(MalformedMessageException("message '$type' came out of order"))
    }

    override fun onClosed(cause: Throwable?) {
        session.listen(ClosedListener)
        val lost = pendingHandlers.toList()
        pendingHandlers.clear()
        onClosed(this)
        lost.forEach { it.onLost(cause) }
    }

    private companion object {
        /** Notices, notifications and changes of parameters, which a server sends at any time. */
        const val UNASKED = "NAS"
    }

    private object ClosedListener : MessageListener {
        override fun onFrame(frame: ByteBuf) {
            frame.release()
        }

        override fun onClosed(cause: Throwable?) = Unit
    }
}
