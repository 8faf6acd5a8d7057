package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.BackendMessage
import io.netty.buffer.ByteBuf

/**
 * Receives the replies to a caller's unit and passes on those that the caller expects.
 *
 * Replies to messages that the daemon added are dropped. For messages that the daemon did not send to the target,
 * [ExpectedReply.localReply] is passed on. So the caller sees one reply for each of its messages, in order.
 */
internal class CallerReplyHandler(private val expected: ArrayDeque<ExpectedReply>, private val sink: CallerReplySink) :
    ReplyHandler {
    private var failed = false
    private var hasResult = false

    override val isReplied: Boolean
        get() = failed || expected.isEmpty() || (expected.first().endTypes == ExpectedReply.QUERY && hasResult)

    /** Passes on the local replies that precede the first reply of the target. To be called once, after the send. */
    fun start() = emitLocalReplies()

    override fun onFrame(frame: ByteBuf) {
        when (BackendMessage.typeOf(frame)) {
            'Z' -> {
                expected.clear()
                sink.onReady(frame)
            }
            'E' -> {
                failed = true
                sink.onFrame(frame)
            }
            'N', 'S' -> sink.onFrame(frame)
            'A' -> frame.release()
            else -> onReplyFrame(frame)
        }
    }

    override fun onLost(cause: Throwable?) {
        expected.clear()
        sink.onLost(cause)
    }

    private fun onReplyFrame(frame: ByteBuf) {
        val head = expected.firstOrNull()
        if (head == null || failed) return sink.onFrame(frame)
        val type = BackendMessage.typeOf(frame)
        if (type in ExpectedReply.EXECUTE) hasResult = true
        if (head.isHidden) frame.release() else sink.onFrame(frame)
        if (type in head.endTypes) {
            expected.removeFirst()
            head.onEnd()
            emitLocalReplies()
        }
    }

    private fun emitLocalReplies() {
        while (true) {
            val reply = expected.firstOrNull()?.localReply ?: return
            expected.removeFirst()
            sink.onFrame(reply)
        }
    }
}
