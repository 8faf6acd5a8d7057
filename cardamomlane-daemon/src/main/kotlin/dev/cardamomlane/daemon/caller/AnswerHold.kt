package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.BackendMessage
import io.netty.buffer.ByteBuf

/**
 * Holds back the parts of an answer that the caller must not see yet.
 *
 * Messages before the first row or result are held, so that another target can still take the unit. With
 * [untilConfirmed], everything from the first result on is held until the write is confirmed.
 */
internal class AnswerHold(private val untilConfirmed: Boolean, private val pass: (ByteBuf) -> Unit) {
    private val held = ArrayDeque<ByteBuf>()
    private var resultHeld = false

    /** Whether the caller has seen a part of the answer. */
    var hasPassed = false
        private set

    fun add(frame: ByteBuf) {
        val type = BackendMessage.typeOf(frame)
        when {
            resultHeld -> held.addLast(frame)
            untilConfirmed && type in RESULTS -> {
                resultHeld = true
                held.addLast(frame)
            }
            !hasPassed && type in PRELUDE -> held.addLast(frame)
            else -> {
                passHeld()
                passOne(frame)
            }
        }
    }

    fun passHeld() {
        while (true) passOne(held.removeFirstOrNull() ?: return)
    }

    fun drop() {
        while (true) (held.removeFirstOrNull() ?: return).release()
    }

    private fun passOne(frame: ByteBuf) {
        hasPassed = true
        pass(frame)
    }

    private companion object {
        const val RESULTS = "CIs"
        const val PRELUDE = "123tTnNS"
    }
}
