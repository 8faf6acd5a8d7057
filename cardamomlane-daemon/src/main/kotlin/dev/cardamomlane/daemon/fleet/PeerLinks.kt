package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.daemon.settings.IpAddress
import dev.cardamomlane.store.RateLimitedLog
import dev.cardamomlane.wire.peer.PeerHandshake
import dev.cardamomlane.wire.peer.PeerMessage
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.tinylog.kotlin.Logger
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap

/**
 * The links to other hosts. A link is opened when there is a message to send to a member and neither side has opened a
 * link to the other yet. The wait between two attempts to reach a member doubles with each attempt, up to a bound,
 * until a handshake succeeds.
 */
internal class PeerLinks(
    private val self: MemberId,
    private val secret: String,
    private val timers: TimerService,
    private val meters: PeerMeters,
    private val addressOf: (MemberId) -> String?,
    private val listener: PeerListener,
) {
    private val log = RateLimitedLog(timers::nowMillis)
    private val scope = CoroutineScope(
        SupervisorJob() + Dispatchers.Default +
            CoroutineExceptionHandler { _, error -> log.error("fleet: a link", error) },
    )
    private val selector = SelectorManager(Dispatchers.IO)
    private val random = SecureRandom()
    private val links = ConcurrentHashMap<MemberId, PeerLink>()
    private val backoffs = ConcurrentHashMap<MemberId, Backoff>()
    private var server: ServerSocket? = null

    @Volatile
    private var isStopped = false

    /** Listens on [address]. Blocks until the socket is bound, and throws if that fails. */
    fun start(address: InetSocketAddress) {
        val bound = runBlocking { aSocket(selector).tcp().bind(address.hostString, address.port) }
        server = bound
        scope.launch { acceptAll(bound) }
    }

    /** Queues [message] for [to], or drops it when there is no link and none may be opened yet. Does not block. */
    fun send(to: MemberId, message: PeerMessage) {
        val link = links[to] ?: dial(to)
        if (link == null) meters.onDropped() else link.offer(message)
    }

    /** Closes the links on which a question has gone unanswered for too long. To be called periodically. */
    fun closeSilent() {
        for ((member, link) in links) {
            if (!link.isSilentFor(UNANSWERED_TIMEOUT_MILLIS)) continue
            Logger.info { "fleet: closing the link to $member, which left a question unanswered" }
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
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                // Any failure, not only of the socket: after the end of this loop no host could open a link.
                if (isStopped) return
                Logger.warn { "fleet: accepting a link failed: $e" }
                delay(MIN_BACKOFF_MILLIS)
            }
        }
    }

    private fun accept(socket: Socket) {
        val link = PeerLink(handshake(isInitiator = false), meters, timers::nowMillis, log)
        scope.launch { runLink(link, socket, expected = null) }
    }

    private fun dial(to: MemberId): PeerLink? {
        val address = addressOf(to)?.let { IpAddress.parse(it) } ?: return null
        val backoff = backoffs.computeIfAbsent(to) { Backoff() }
        val link = PeerLink(handshake(isInitiator = true), meters, timers::nowMillis, log)
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
            val socket = withTimeoutOrNull(CONNECT_TIMEOUT_MILLIS) {
                aSocket(selector).tcp().connect(address.hostString, address.port) { noDelay = true }
            }
            if (socket != null) runLink(link, socket, expected = to) { backoff.reset() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Logger.debug { "fleet: connecting to $to failed: ${e.message}" }
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

    /** The wait between two attempts to reach one member. */
    private class Backoff {
        private var waitMillis = MIN_BACKOFF_MILLIS
        private var nextMillis = Long.MIN_VALUE

        fun mayTry(nowMillis: Long): Boolean {
            if (nowMillis < nextMillis) return false
            nextMillis = nowMillis + waitMillis
            waitMillis = minOf(2 * waitMillis, MAX_BACKOFF_MILLIS)
            return true
        }

        @Synchronized
        fun reset() {
            waitMillis = MIN_BACKOFF_MILLIS
            nextMillis = Long.MIN_VALUE
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val UNANSWERED_TIMEOUT_MILLIS = 1_500L
        const val MIN_BACKOFF_MILLIS = 100L
        const val MAX_BACKOFF_MILLIS = 3_000L
    }
}
