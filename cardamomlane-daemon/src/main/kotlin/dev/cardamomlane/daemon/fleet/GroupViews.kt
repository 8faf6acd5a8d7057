package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
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

/** Asks other hosts how they see a group, and gathers what comes back in time. */
internal class GroupViews(private val timers: TimerService, private val send: (MemberId, PeerMessage) -> Unit) {
    private val lastAskId = AtomicLong()
    private val open = ConcurrentHashMap<Long, FluxSink<PeerView>>()

    /** Sends the question at subscription. Completes when all [peers] answered or [timeoutMillis] passed. */
    fun ask(peers: List<MemberId>, database: DatabaseId, timeoutMillis: Long): Flux<PeerView> =
        Flux.create<PeerView> { sink ->
            val askId = lastAskId.incrementAndGet()
            open[askId] = sink
            val timeout = timers.after(timeoutMillis) { sink.complete() }
            sink.onDispose {
                open.remove(askId)
                timeout.cancel()
            }
            peers.forEach { send(it, PeerMessage.GroupViewRequest(askId, database.value)) }
        }.take(peers.size.toLong())

    fun onTell(from: MemberId, message: PeerMessage.GroupViewResponse) {
        val view = PeerView(from.host, message.term, message.primary?.let(::TargetId), reachOf(message.reach))
        open[message.askId]?.next(view)
    }

    /** A later version may send a name that this one doesn't know. */
    private fun reachOf(name: String): PrimaryReach =
        PrimaryReach.entries.find { it.name == name } ?: PrimaryReach.UNKNOWN
}
