package dev.cardamomlane.daemon.target

import io.netty.buffer.ByteBuf

/**
 * What answers one message of a unit.
 *
 * @property endTypes the types of the frames of which one ends the answer
 * @property isHidden whether the caller must not see the answer
 * @property localReply an answer that the daemon gives itself, because the message was not sent
 * @property onEnd called when the answer has come whole
 */
internal class ExpectedReply(
    val endTypes: String,
    val isHidden: Boolean = false,
    val localReply: ByteBuf? = null,
    val onEnd: () -> Unit = {},
) {
    companion object {
        const val PARSE = "1"
        const val BIND = "2"
        const val CLOSE = "3"
        const val DESCRIBE = "Tn"
        const val EXECUTE = "CIs"

        /** No frame but ReadyForQuery ends the answer. */
        const val QUERY = ""
    }
}
