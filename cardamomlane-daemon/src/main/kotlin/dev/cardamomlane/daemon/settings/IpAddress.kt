package dev.cardamomlane.daemon.settings

import io.netty.util.NetUtil
import java.net.InetSocketAddress

/** Parses and formats addresses of the form `ip:port`. An IPv6 address is enclosed in brackets. */
internal object IpAddress {
    private const val MAX_PORT = 65535

    /** Returns null if [text] is not an IP address with a port from 1 to 65535. Host names are not resolved. */
    fun parse(text: String): InetSocketAddress? {
        val colon = text.lastIndexOf(':')
        if (colon < 0) return null
        val port = text.substring(colon + 1).toIntOrNull() ?: return null
        val address = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon)) ?: return null
        return if (port in 1..MAX_PORT) InetSocketAddress(address, port) else null
    }

    fun format(address: InetSocketAddress): String = NetUtil.toSocketAddressString(address)
}
