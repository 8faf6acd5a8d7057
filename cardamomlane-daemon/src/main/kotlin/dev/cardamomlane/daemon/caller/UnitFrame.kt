package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.FrontendMessage
import io.netty.buffer.ByteBuf

/** One message of a unit, read and as it came. */
internal class UnitFrame(val message: FrontendMessage, val bytes: ByteBuf)
