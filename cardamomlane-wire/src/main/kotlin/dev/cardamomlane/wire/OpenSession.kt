package dev.cardamomlane.wire

import io.netty.buffer.ByteBuf
import kotlinx.collections.immutable.ImmutableMap

/**
 * A session on a server that is ready for its first query. The caller of [SessionOpener.open] must close its [link].
 *
 * @property parameters the parameters that the server reported at startup, such as `server_version`
 */
public class OpenSession internal constructor(
    public val link: MessageLink,
    public val processId: Int,
    public val secretKey: Int,
    public val parameters: ImmutableMap<String, String>,
    private val forwarder: ForwardingListener,
) {
    /** Delivers frames to [listener] alone from now on. Frames that arrive before the first call are dropped. */
    public fun listen(listener: MessageListener) {
        forwarder.listener = listener
    }

    /** Forwards every call to [listener], which may change while the link is open. Without one, drops frames. */
    internal class ForwardingListener : MessageListener {
        var listener: MessageListener? = null

        override fun onFrame(frame: ByteBuf) {
            listener?.onFrame(frame) ?: frame.release()
        }

        override fun onWritable() {
            listener?.onWritable()
        }

        override fun onClosed(cause: Throwable?) {
            listener?.onClosed(cause)
        }
    }
}
