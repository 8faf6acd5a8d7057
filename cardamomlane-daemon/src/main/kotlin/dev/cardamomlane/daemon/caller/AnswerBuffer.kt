package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendMessage
import io.netty.buffer.ByteBuf

/**
 * Holds back the parts of an answer that the caller must not see yet.
 *
 * Messages before the first row or result are held, so that the unit can still be sent to another target while the
 * caller has seen nothing. If [untilConfirmed] is set, everything from the first result on is held until [flush], which
 * is called when the write is confirmed.
 *
 * Owns the frames that it holds. [send] passes a frame and its ownership on to the caller.
 */
internal class AnswerBuffer(private val untilConfirmed: Boolean, private val send: (ByteBuf) -> Unit) {
    private val held = ArrayDeque<ByteBuf>()
    private var isResultHeld = false

    /** Whether any part of the answer was sent to the caller. */
    var hasSent = false
        private set

    fun add(frame: ByteBuf) {
        val type = BackendMessage.typeOf(frame)
        when {
            isResultHeld -> held.addLast(frame)
            untilConfirmed && type in RESULTS -> {
                isResultHeld = true
                held.addLast(frame)
            }
            !hasSent && type in PRELUDE -> held.addLast(frame)
            else -> {
                flush()
                sendFrame(frame)
            }
        }
    }

    fun flush() {
        while (true) sendFrame(held.removeFirstOrNull() ?: return)
    }

    fun drop() {
        while (true) (held.removeFirstOrNull() ?: return).release()
    }

    private fun sendFrame(frame: ByteBuf) {
        hasSent = true
        send(frame)
    }

    private companion object {
        /** The types of the messages that end a result: CommandComplete, EmptyQueryResponse and PortalSuspended. */
        const val RESULTS = "CIs"

        /** The types of the messages that may precede the first row or result, for example RowDescription. */
        const val PRELUDE = "123tTnNS"
    }
}
