package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.FrontendMessage
import io.netty.buffer.ByteBuf

/** One message of a unit, decoded and as the [bytes] that were received. */
internal class UnitFrame(val message: FrontendMessage, val bytes: ByteBuf)
