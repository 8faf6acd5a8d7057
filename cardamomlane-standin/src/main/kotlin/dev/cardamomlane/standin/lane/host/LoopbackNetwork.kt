package dev.cardamomlane.standin.lane.host

import dev.cardamomlane.standin.settings.SocketAddress
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Addresses of the loopback network that no other run uses: [prefix] holds their first three bytes.
 *
 * Ports are free when they are picked. They are not reserved.
 */
internal class LoopbackNetwork private constructor(private val prefix: String, private val random: Random) {
    private var lastHost = 1

    /** Returns an address that was not returned before. */
    fun nextAddress(): String = "$prefix.${++lastHost}"

    /** Returns a new address with a free port. */
    fun nextSocketAddress(): SocketAddress {
        val address = nextAddress()
        return SocketAddress(address, freePort(listOf(address)))
    }

    /** Returns a port that is free on all [addresses], below those that the system gives to outgoing connections. */
    fun freePort(addresses: List<String>): Int = generateSequence { random.nextInt(MIN_PORT, MAX_PORT) }
        .first { port -> addresses.all { isFree(it, port) } }

    companion object {
        private const val MIN_PORT = 15_000
        private const val MAX_PORT = 30_000

        /** Picks a network at random, so that runs side by side rarely share one. */
        fun pick(random: Random = Random.Default): LoopbackNetwork =
            LoopbackNetwork("127.${random.nextInt(16, 250)}.${random.nextInt(1, 250)}", random)

        private fun isFree(address: String, port: Int): Boolean = try {
            ServerSocket(port, 1, InetAddress.getByName(address)).close()
            true
        } catch (_: IOException) {
            false
        }
    }
}
