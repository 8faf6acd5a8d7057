package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.wire.peer.PeerMessage
import reactor.core.publisher.Flux
import reactor.core.publisher.FluxSink
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Asks other hosts how they see a group, and gathers what comes back in time. */
internal class GroupViews(private val timers: TimerService, private val send: (MemberId, PeerMessage) -> Unit) {
    private val lastAskId = AtomicLong()
    private val open = ConcurrentHashMap<Long, FluxSink<PeerGroupView>>()

    /** Sends the question at subscription. Completes when all [peers] answered or [timeoutMillis] passed. */
    fun ask(peers: List<MemberId>, database: DatabaseId, timeoutMillis: Long): Flux<PeerGroupView> =
        Flux.create<PeerGroupView> { sink ->
            val askId = lastAskId.incrementAndGet()
            open[askId] = sink
            val timeout = timers.after(timeoutMillis) { sink.complete() }
            sink.onDispose {
                open.remove(askId)
                timeout.cancel()
            }
            peers.forEach { send(it, PeerMessage.GroupAsk(askId, database.value)) }
        }.take(peers.size.toLong())

    fun onTell(from: MemberId, message: PeerMessage.GroupTell) {
        val view = PeerGroupView(from.host, message.term, message.primary?.let(::TargetId), message.reachesPrimary)
        open[message.askId]?.next(view)
    }
}
