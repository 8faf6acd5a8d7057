package dev.cardamomlane.daemon.target

import dev.cardamomlane.wire.BackendMessage
import io.netty.buffer.ByteBuf

/**
 * Takes the answers to a caller's unit and passes on those that the caller expects.
 *
 * Answers to messages that the daemon added are dropped, and answers to messages that it left out are put in their
 * place, so that the caller sees one answer for each of its messages, in order.
 */
internal class ClientSegment(private val expected: ArrayDeque<ExpectedReply>, private val sink: ClientSink) :
    ReplySegment {
    private var failed = false

    /** Gives out the answers that no message of the target precedes. */
    fun start() = giveOwn()

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
            else -> take(frame)
        }
    }

    override fun onLost(cause: Throwable?) {
        expected.clear()
        sink.onLost(cause)
    }

    private fun take(frame: ByteBuf) {
        val head = expected.firstOrNull()
        if (head == null || failed) return sink.onFrame(frame)
        val type = BackendMessage.typeOf(frame)
        if (head.isHidden) frame.release() else sink.onFrame(frame)
        if (type in head.endTypes) {
            expected.removeFirst()
            head.onEnd()
            giveOwn()
        }
    }

    private fun giveOwn() {
        while (true) {
            val own = expected.firstOrNull()?.own ?: return
            expected.removeFirst()
            sink.onFrame(own)
        }
    }
}
