package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendMessage
import io.netty.buffer.ByteBuf

/**
 * Holds back the parts of an answer that the caller must not see yet.
 *
 * Messages before the first row or result are held, so that another target can still take the unit. With
 * [untilConfirmed], everything from the first result on is held until the write is confirmed.
 */
internal class AnswerBuffer(private val untilConfirmed: Boolean, private val send: (ByteBuf) -> Unit) {
    private val held = ArrayDeque<ByteBuf>()
    private var isResultHeld = false

    /** Whether the caller has seen a part of the answer. */
    var hasSent = false
        private set

    fun add(frame: ByteBuf) {
        val type = BackendMessage.typeOf(frame)
        when {
            isResultHeld -> held.addLast(frame)
            untilConfirmed && type in RESULT_TYPES -> {
                isResultHeld = true
                held.addLast(frame)
            }
            !hasSent && type in PRELUDE_TYPES -> held.addLast(frame)
            else -> {
                flush()
                sendFrame(frame)
            }
        }
    }

    fun flush() {
        while (true) sendFrame(held.removeFirstOrNull() ?: return)
    }

    fun discard() {
        while (true) (held.removeFirstOrNull() ?: return).release()
    }

    private fun sendFrame(frame: ByteBuf) {
        hasSent = true
        send(frame)
    }

    private companion object {
        const val RESULT_TYPES = "CIs"
        const val PRELUDE_TYPES = "123tTnNS"
    }
}
