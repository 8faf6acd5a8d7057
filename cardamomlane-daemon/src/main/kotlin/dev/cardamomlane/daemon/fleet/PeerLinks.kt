package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.daemon.settings.IpAddress
import dev.cardamomlane.wire.peer.PeerHandshake
import dev.cardamomlane.wire.peer.PeerMessage
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap

/**
 * The links to other hosts. A link is opened when there is something to send and no link to the member yet, in either
 * direction; after a failure the next attempt waits twice as long as the last, up to a bound.
 */
internal class PeerLinks(
    private val self: MemberId,
    private val secret: String,
    private val timers: TimerService,
    private val meters: PeerMeters,
    private val addressOf: (MemberId) -> String?,
    private val listener: PeerListener,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val random = SecureRandom()
    private val links = ConcurrentHashMap<MemberId, PeerLink>()
    private val backoffs = ConcurrentHashMap<MemberId, Backoff>()
    private var server: ServerSocket? = null

    @Volatile
    private var isStopped = false

    /** Listens on [address]. Fails when it can't. */
    fun start(address: InetSocketAddress) {
        val bound = runBlocking { aSocket(selector).tcp().bind(address.hostString, address.port) }
        server = bound
        scope.launch { acceptAll(bound) }
    }

    /** Sends [message], or drops it when there is no way to [to]. */
    fun send(to: MemberId, message: PeerMessage) {
        val link = links[to] ?: dial(to)
        if (link == null) meters.onDropped() else link.offer(message)
    }

    /** Closes links on which a question got no answer. */
    fun closeSilent() {
        for ((member, link) in links) {
            if (!link.isSilentFor(SILENCE_MILLIS)) continue
            Logger.info { "fleet: link to $member is silent, closing it" }
            links.remove(member, link)
            link.close()
        }
    }

    fun stop() {
        isStopped = true
        links.values.forEach { it.close() }
        server?.close()
        scope.cancel()
        selector.close()
    }

    private suspend fun acceptAll(bound: ServerSocket) {
        while (!isStopped) {
            try {
                accept(bound.accept())
            } catch (e: IOException) {
                if (isStopped) return
                Logger.warn { "fleet: no link accepted: ${e.message}" }
                delay(MIN_WAIT_MILLIS)
            }
        }
    }

    private fun accept(socket: Socket) {
        val link = PeerLink(handshake(isInitiator = false), meters, timers::nowMillis)
        scope.launch { runLink(link, socket, expected = null) }
    }

    private fun dial(to: MemberId): PeerLink? {
        val address = addressOf(to)?.let { IpAddress.parse(it) } ?: return null
        val backoff = backoffs.computeIfAbsent(to) { Backoff() }
        val link = PeerLink(handshake(isInitiator = true), meters, timers::nowMillis)
        synchronized(backoff) {
            links[to]?.let { return it }
            if (!backoff.mayTry(timers.nowMillis())) return null
            links[to] = link
        }
        scope.launch { connect(to, address, link, backoff) }
        return link
    }

    private suspend fun connect(to: MemberId, address: InetSocketAddress, link: PeerLink, backoff: Backoff) {
        try {
            val socket = withTimeoutOrNull(CONNECT_MILLIS) {
                aSocket(selector).tcp().connect(address.hostString, address.port) { noDelay = true }
            }
            if (socket != null) runLink(link, socket, expected = to) { backoff.reset() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.debug { "fleet: no link to $to: ${e.message}" }
        } finally {
            links.remove(to, link)
        }
    }

    private suspend fun runLink(link: PeerLink, socket: Socket, expected: MemberId?, onOpen: () -> Unit = {}) {
        var other: MemberId? = null
        try {
            link.run(
                socket,
                onOpen = { member ->
                    other = member
                    onOpen()
                    if (expected == null) links.putIfAbsent(member, link)
                    if (expected != null && expected != member) link.close()
                },
                listener,
            )
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.debug { "fleet: link to ${other ?: "an unknown host"} ended: ${e.message}" }
        } finally {
            other?.let { links.remove(it, link) }
            link.close()
        }
    }

    private fun handshake(isInitiator: Boolean) = PeerHandshake(secret, self, isInitiator, random)

    /** The wait between attempts to reach one member. */
    private class Backoff {
        private var waitMillis = MIN_WAIT_MILLIS
        private var nextMillis = Long.MIN_VALUE

        fun mayTry(nowMillis: Long): Boolean {
            if (nowMillis < nextMillis) return false
            nextMillis = nowMillis + waitMillis
            waitMillis = minOf(2 * waitMillis, MAX_WAIT_MILLIS)
            return true
        }

        @Synchronized
        fun reset() {
            waitMillis = MIN_WAIT_MILLIS
            nextMillis = Long.MIN_VALUE
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1_000L
        const val SILENCE_MILLIS = 1_500L
        const val MIN_WAIT_MILLIS = 100L
        const val MAX_WAIT_MILLIS = 3_000L
    }
}
