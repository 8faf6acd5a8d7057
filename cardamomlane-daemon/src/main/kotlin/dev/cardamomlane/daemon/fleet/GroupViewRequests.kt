package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.core.failover.PrimaryReach
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.wire.peer.PeerMessage
import reactor.core.publisher.Flux
import reactor.core.publisher.FluxSink
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Asks other hosts for their view of a database group and collects the answers that arrive before the timeout. */
internal class GroupViewRequests(private val timers: TimerService, private val send: (MemberId, PeerMessage) -> Unit) {
    private val lastRequestId = AtomicLong()
    private val pending = ConcurrentHashMap<Long, FluxSink<PeerView>>()

    /** Sends the requests at subscription. Completes when all [peers] have answered or [timeoutMillis] have passed. */
    fun ask(peers: List<MemberId>, database: DatabaseId, timeoutMillis: Long): Flux<PeerView> =
        Flux.create<PeerView> { sink ->
            val requestId = lastRequestId.incrementAndGet()
            pending[requestId] = sink
            val timeout = timers.after(timeoutMillis) { sink.complete() }
            sink.onDispose {
                pending.remove(requestId)
                timeout.cancel()
            }
            peers.forEach { send(it, PeerMessage.GroupViewRequest(requestId, database.value)) }
        }.take(peers.size.toLong())

    /**
     * Handles the answer of [from]. Ignores it when its request has ended.
     *
     * @throws IllegalArgumentException if a value of [message] is out of range
     */
    fun onResponse(from: MemberId, message: PeerMessage.GroupViewResponse) {
        val term = SequenceNumbers.requireValid("term", message.term)
        val view = PeerView(from.host, term, message.primary?.let(::TargetId), reachOf(message.reach))
        pending[message.askId]?.next(view)
    }

    /** Returns [PrimaryReach.UNKNOWN] for a name that this version doesn't know, which a later version may send. */
    private fun reachOf(name: String): PrimaryReach =
        PrimaryReach.entries.find { it.name == name } ?: PrimaryReach.UNKNOWN
}
