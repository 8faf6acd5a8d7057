package dev.cardamomlane.daemon.settings

import io.netty.util.NetUtil
import java.net.InetSocketAddress

/** Reads and writes `ip:port` texts. An IPv6 number stands in brackets. */
internal object IpAddress {
    private const val MAX_PORT = 65535

    fun parse(text: String): InetSocketAddress? {
        val colon = text.lastIndexOf(':')
        if (colon < 0) return null
        val port = text.substring(colon + 1).toIntOrNull() ?: return null
        val address = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon)) ?: return null
        return if (port in 1..MAX_PORT) InetSocketAddress(address, port) else null
    }

    fun format(address: InetSocketAddress): String = NetUtil.toSocketAddressString(address)
}
