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

/**
 * One open connection to a target.
 *
 * Groups of messages may be sent one after the other without waiting; their segments take the answers in order. A
 * connection with an open segment is never handed to another caller.
 */
internal class TargetConnection(
    val id: Long,
    val target: TargetId,
    private val session: OpenSession,
    private val timers: TimerService,
    private val onClosed: (TargetConnection) -> Unit,
) : MessageListener {
    private val segments = ArrayDeque<ReplyHandler>()

    val prepared = PreparedNames()

    /** The SET statement in force for each session parameter that differs from the default. */
    var parameters: PersistentMap<String, String> = persistentMapOf()

    /** When the last frame came, or the last message was sent to the idle connection. */
    var lastActivityMillis: Long = timers.nowMillis()
        private set

    val processId: Int get() = session.processId
    val secretKey: Int get() = session.secretKey
    val serverParameters: Map<String, String> get() = session.parameters
    val allocator: ByteBufAllocator get() = session.link.allocator
    val isOpen: Boolean get() = session.link.isOpen
    val isIdle: Boolean get() = segments.isEmpty()

    fun start() = session.listen(this)

    /** Sends [messages], whose answers the [added] segments take, one segment for each ReadyForQuery. */
    fun send(messages: ByteBuf, added: List<ReplyHandler>) {
        if (segments.isEmpty()) lastActivityMillis = timers.nowMillis()
        segments.addAll(added)
        session.link.send(messages)
    }

    fun pauseReads() = session.link.pauseReads()

    fun resumeReads() = session.link.resumeReads()

    fun close() = session.link.close()

    /** Ends the connection from this side at once; open segments are told that it is lost. */
    fun abort(cause: Throwable) {
        session.link.abort()
        onClosed(cause)
    }

    override fun onFrame(frame: ByteBuf) {
        lastActivityMillis = timers.nowMillis()
        val segment = segments.firstOrNull()
        if (segment == null) {
            frame.release()
            return
        }
        if (BackendMessage.typeOf(frame) == 'Z') segments.removeFirst()
        try {
            segment.onFrame(frame)
        } catch (error: MalformedMessageException) {
            abort(error)
        }
    }

    override fun onClosed(cause: Throwable?) {
        session.listen(ClosedListener)
        val lost = segments.toList()
        segments.clear()
        onClosed(this)
        lost.forEach { it.onLost(cause) }
    }

    private object ClosedListener : MessageListener {
        override fun onFrame(frame: ByteBuf) {
            frame.release()
        }

        override fun onClosed(cause: Throwable?) = Unit
    }
}
