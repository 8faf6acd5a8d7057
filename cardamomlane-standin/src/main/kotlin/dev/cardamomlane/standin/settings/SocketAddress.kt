package dev.cardamomlane.standin.settings

/** A host and a port. */
internal data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`. Returns null if [text] is not such an address. */
        fun parseOrNull(text: String): SocketAddress? {
            val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
            val host = text.substringBeforeLast(':')
            return if (host.isBlank() || port !in 0..MAX_PORT) null else SocketAddress(host, port)
        }

        /** Parses `host:port`. Throws [IllegalArgumentException] if [text] is not such an address. */
        fun parse(text: String): SocketAddress =
            requireNotNull(parseOrNull(text)) { "address must be host:port but was \"$text\"" }
    }
}
