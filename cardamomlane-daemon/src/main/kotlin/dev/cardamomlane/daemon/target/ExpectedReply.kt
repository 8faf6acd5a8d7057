package dev.cardamomlane.daemon.target

import io.netty.buffer.ByteBuf

/**
 * The reply that is expected for one message of a unit.
 *
 * @property endTypes the types of the frames that end the reply, one character each; empty for ReadyForQuery only
 * @property isHidden whether the caller must not see the reply, because the daemon added the message
 * @property localReply the reply that the daemon creates itself because it did not send the message, or null
 * @property onEnd called when the last frame of the reply has arrived
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

        /** Only ReadyForQuery ends the reply. */
        const val QUERY = ""
    }
}
