package dev.cardamomlane.core.failover

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.A
import dev.cardamomlane.core.group.B
import dev.cardamomlane.core.group.C
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.GroupTarget
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

internal class Acknowledged(val position: LogPosition, val write: Int, val atMillis: Long)

/**
 * Simulates model targets, three daemons that also write, and the platform's row of the group on one manual clock.
 * [violations] holds the name of each check that found a broken invariant.
 */
internal class GroupSimulation(
    seed: Int,
    private val mechanisms: Mechanisms = Mechanisms(),
    val ids: List<TargetId> = listOf(A, B, C),
) {
    val random = Random(seed)
    val timer = ManualTimerService()
    val network = SimulatedNetwork(timer, random)
    val targets = ModelTarget.bootstrap(ids, mechanisms).associateBy { it.id }
    val daemons = listOf("host-1", "host-2", "host-3").map { SimulatedDaemon(HostId(it)) }
    val acknowledged = ArrayList<Acknowledged>()
    val violations = LinkedHashSet<String>()
    val primaries = sortedMapOf(1L to A)
    var crashed: TargetId? = null
    var isIdle = false
    var claimedTerm = 1L
        private set
    private var rowClaimant = ""
    private var writes = 0

    init {
        timer.every(7) { replicate() }
        daemons.forEach { it.start() }
    }

    val highestTerm: Long get() = primaries.lastKey()

    fun acknowledgedSince(sinceMillis: Long): Int = acknowledged.count { it.atMillis > sinceMillis }

    private fun replicate() {
        for (replica in targets.values.shuffled(random)) {
            val primary = replica.following?.let { targets.getValue(it) } ?: continue
            val down = crashed == replica.id || crashed == primary.id
            if (!down && !network.isPartitioned(replica.id.value, primary.id.value)) replica.receiveFrom(primary)
        }
        targets.values.filter { it.id != crashed }.forEach { it.confirm(majority = ids.size / 2 + 1) }
    }

    private fun onAcknowledged(write: Int, position: LogPosition) {
        if (position.term < highestTerm) violations += "no write is acknowledged by an old primary"
        acknowledged += Acknowledged(position, write, timer.nowMillis())
    }

    private fun onPromoted(target: ModelTarget, term: Long) {
        if (primaries.getOrPut(term) { target.id } != target.id) violations += "at most one primary per term"
        val held = target.log.mapNotNullTo(HashSet()) { it.write }
        if (term == highestTerm && acknowledged.any { it.write !in held }) {
            violations += "no acknowledged write is lost"
        }
    }

    private fun claim(term: Long, claimant: String): ClaimOutcome {
        if (!mechanisms.platformAnswers) return ClaimOutcome.Unknown
        if (claimedTerm > term ||
            (claimedTerm == term && rowClaimant != claimant)
        ) {
            return ClaimOutcome.Lost(claimedTerm)
        }
        claimedTerm = term
        rowClaimant = claimant
        return ClaimOutcome.Won
    }

    inner class SimulatedDaemon(private val host: HostId) {
        val name = host.value
        val monitor = GroupMonitor(DatabaseId("orders-1"), ids.map { GroupTarget(it) }.toImmutableList())
        private val machine = FailoverMachine(host, "$name/${random.nextInt()}", monitor, random)

        fun start() {
            timer.every(100) { network.at(name) { poll() } }
            timer.every(20) { network.at(name) { on(FailoverEvent.Tick) } }
            timer.every(30) { network.at(name) { write() } }
            timer.every(230) { network.at(name) { checkReads() } }
        }

        private fun poll() {
            val round = monitor.beginRound(timer.nowMillis())
            for (target in targets.values) {
                var answered = false
                call(target, { target.status() }) { status ->
                    answered = true
                    monitor.onStatus(round, target.id, status, timer.nowMillis())
                }
                timer.after(200) {
                    network.at(name) {
                        if (!answered) monitor.onFailure(target.id, round.sentAtMillis, newConnection = true)
                    }
                }
            }
        }

        private fun <T> call(target: ModelTarget, run: () -> T, onAnswer: (T) -> Unit) {
            network.send(name, target.id.value) {
                if (crashed == target.id) return@send
                val answer = run()
                network.send(target.id.value, name) { onAnswer(answer) }
            }
        }

        private fun on(event: FailoverEvent) {
            machine.on(event, timer.nowMillis()).forEach(::act)
        }

        private fun act(action: FailoverAction) = when (action) {
            is FailoverAction.AskPeers -> queryPeers()
            is FailoverAction.ClaimTerm -> network.send(name, PLATFORM) {
                val outcome = claim(action.term, action.claimant)
                network.send(PLATFORM, name) { on(FailoverEvent.ClaimAnswered(action.term, outcome)) }
            }
            is FailoverAction.Fence -> fence(targets.getValue(action.target), action)
            is FailoverAction.Promote -> promote(targets.getValue(action.target), action)
            is FailoverAction.Follow -> targets.getValue(action.target).let { target ->
                call(target, { target.follow(action.term, action.primary) }) { }
            }
            is FailoverAction.AnnounceTerm -> peers().forEach { peer ->
                network.send(name, peer.name) { peer.on(FailoverEvent.TermAnnounced(action.term, action.primary)) }
            }
        }

        private fun peers() = daemons.filter { it !== this }

        private fun queryPeers() {
            on(FailoverEvent.PeersQueried(peers().size))
            for (peer in peers()) {
                network.send(name, peer.name) {
                    val view = peer.machine.view(timer.nowMillis())
                    network.send(peer.name, name) { on(FailoverEvent.PeerAnswered(view)) }
                }
            }
        }

        private fun fence(target: ModelTarget, action: FailoverAction.Fence) = call(target, {
            val granted = target.fence(action.term, action.claimant)
            val received = if (mechanisms.highestIsPromoted) target.received else LogPosition.START
            FailoverEvent.FenceAnswered(target.id, action.term, granted, target.status().copy(received = received))
        }, ::on)

        private fun promote(target: ModelTarget, action: FailoverAction.Promote) = call(target, {
            val granted = target.promote(action.term, action.claimant)
            if (granted) onPromoted(target, action.term)
            FailoverEvent.PromoteAnswered(target.id, action.term, granted)
        }, ::on)

        private fun write() {
            if (isIdle) return
            val request = RouteRequest(write = true, LogPosition.START, null, emptySet()) { 0 }
            val choice = monitor.table.choose(request, timer.nowMillis()) as? RouteChoice.Use ?: return
            val target = targets.getValue(choice.target)
            val write = ++writes
            call(target, { target.append(write) { position -> onAcknowledged(write, position) } }) { }
        }

        private fun checkReads() {
            val nowMillis = timer.nowMillis()
            val before = acknowledged.toList()
            monitor.requestMinimumPosition { minimum ->
                if (before.any { it.position > minimum }) violations += "a minimum position covers every earlier write"
            }
            val request = RouteRequest(write = false, LogPosition.START, maxAgeMillis = 500, emptySet()) { 0 }
            val choice = monitor.table.choose(request, nowMillis) as? RouteChoice.Use ?: return
            val missed = before.any { it.atMillis < nowMillis - 500 && it.position > choice.requiredPosition }
            if (choice.target != monitor.primary && missed) violations += "a read is no older than its maximum age"
        }
    }

    companion object {
        const val PLATFORM = "platform"
    }
}
