package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.BackendMessage
import io.netty.buffer.ByteBuf

/**
 * Takes the answers to a caller's unit and passes on those that the caller expects.
 *
 * Answers to messages that the daemon added are dropped, and answers to messages that it left out are put in their
 * place, so that the caller sees one answer for each of its messages, in order.
 */
internal class CallerReplyHandler(private val expected: ArrayDeque<ExpectedReply>, private val sink: CallerReplySink) :
    ReplyHandler {
    private var failed = false

    /** Gives out the answers that no message of the target precedes. */
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
