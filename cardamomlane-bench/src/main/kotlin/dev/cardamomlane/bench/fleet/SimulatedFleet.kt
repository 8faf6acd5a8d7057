package dev.cardamomlane.bench.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.fleet.ControlRows
import dev.cardamomlane.core.fleet.FleetAction
import dev.cardamomlane.core.fleet.FleetEvent
import dev.cardamomlane.core.fleet.FleetMachine
import dev.cardamomlane.core.fleet.LeaseRow
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.fleet.MemberRecord
import dev.cardamomlane.core.fleet.RevisionHead
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.rules.RuleSet
import dev.cardamomlane.wire.peer.FleetMessages
import dev.cardamomlane.wire.peer.PeerCodec
import dev.cardamomlane.wire.peer.PeerMessage
import kotlinx.collections.immutable.toImmutableList

/** Runs the fleet machines of many hosts in simulated time. Every peer message is encoded and decoded. */
internal class SimulatedFleet(hostCount: Int) {
    private val queue = EventQueue()
    private val hosts = List(hostCount) { SimulatedHost(it) }
    private val byId = hosts.associateBy { it.self.id }
    private val leases = HashMap<HostId, LeaseRow>()
    private var control = ControlRows(
        record = MemberRecord(1, hosts.map { it.self }.sortedBy { it.id }.toImmutableList(), previous = null),
        recordRowVersion = 1,
    )
    val cost = ControlCost()

    init {
        hosts.forEach { host ->
            queue.after(host.index.toLong() * HEARTBEAT_MILLIS / hostCount) { host.onHeartbeatDue() }
        }
    }

    /** Runs for [millis] of simulated time. Proposes a revision every [changeMillis], or none when that is null. */
    fun run(millis: Long, changeMillis: Long?) {
        val endMillis = queue.nowMillis + millis
        if (changeMillis != null) propose(changeMillis, endMillis)
        queue.runUntil(endMillis)
    }

    /** The number of hosts that are in good standing now. */
    fun inStandingCount(): Int = hosts.count { it.machine.isInStanding(queue.nowMillis) }

    private fun propose(periodMillis: Long, endMillis: Long) {
        queue.after(periodMillis) {
            val head = control.head
            if (head.proposed == null) {
                control = control.copy(
                    head = RevisionHead(head.accepted, head.accepted + 1),
                    headRowVersion = control.headRowVersion + 1,
                )
                cost.changes++
            }
            if (queue.nowMillis < endMillis) propose(periodMillis, endMillis)
        }
    }

    private inner class SimulatedHost(val index: Int) {
        val self = Member(MemberId(HostId("host-%04d".format(index)), incarnation = 1_764_000_000_000), "10.0.0.1:7432")
        val machine = FleetMachine(self)

        fun onHeartbeatDue() {
            handle(FleetEvent.HeartbeatDue)
            queue.after(HEARTBEAT_MILLIS) { onHeartbeatDue() }
        }

        private fun handle(event: FleetEvent) {
            val actions = cost.timed { machine.on(event, queue.nowMillis) }
            actions.forEach(::perform)
        }

        private fun receive(from: MemberId, bytes: ByteArray) {
            val event = cost.timed {
                when (val message = PeerCodec.decode(bytes)) {
                    is PeerMessage.Question -> FleetEvent.Question(from, FleetMessages.question(message))
                    is PeerMessage.Answer -> FleetEvent.Answer(from, FleetMessages.answer(message))
                    else -> error("message $message is not part of a heartbeat")
                }
            }
            handle(event)
        }

        private fun perform(action: FleetAction) {
            when (action) {
                is FleetAction.Ask -> send(action.to) { FleetMessages.of(action.question) }
                is FleetAction.Reply -> send(action.to) { FleetMessages.of(action.answer) }
                FleetAction.ReadPlatform -> readPlatform()
                FleetAction.ReadLeases -> readLeases()
                FleetAction.RenewLease -> renewLease()
                is FleetAction.LoadRevision -> loadRevision(action.revision)
                is FleetAction.WriteControl -> writeControl(action)
                is FleetAction.InstallShares -> Unit
            }
        }

        private fun send(to: MemberId, message: () -> PeerMessage) {
            val bytes = cost.timed { PeerCodec.encode(message()) }
            cost.messages++
            cost.bytes += bytes.size + PeerCodec.LENGTH_BYTES
            queue.after(NETWORK_DELAY_MILLIS) { byId.getValue(to).receive(self.id, bytes) }
        }

        private fun readPlatform() {
            val sentAtMillis = queue.nowMillis
            cost.reads += 2 // The member record and the head of the revisions are one row each.
            queue.after(PLATFORM_DELAY_MILLIS) { handle(FleetEvent.PlatformRead(sentAtMillis, control)) }
        }

        private fun readLeases() {
            cost.leaseScans++
            queue.after(PLATFORM_DELAY_MILLIS) { handle(FleetEvent.LeasesRead(leases.values.toImmutableList())) }
        }

        private fun renewLease() {
            cost.writes++
            leases[self.id.host] = LeaseRow(self, (leases[self.id.host]?.rowVersion ?: 0) + 1, isRetired = false)
        }

        private fun loadRevision(revision: Long) = queue.after(NETWORK_DELAY_MILLIS) {
            handle(FleetEvent.RevisionLoaded(Configuration(revision, RuleSet.EMPTY, rulesText = "", KeyRing.EMPTY)))
        }

        private fun writeControl(action: FleetAction.WriteControl) = queue.after(PLATFORM_DELAY_MILLIS) {
            val isCurrent = action.expected == control
            if (isCurrent) {
                cost.writes++
                control = action.new.copy(
                    recordRowVersion = control.recordRowVersion + 1,
                    headRowVersion = control.headRowVersion + 1,
                )
            }
            handle(FleetEvent.ControlWriteEnded(control.takeIf { isCurrent }))
        }
    }

    private companion object {
        const val HEARTBEAT_MILLIS = 250L
        const val NETWORK_DELAY_MILLIS = 1L
        const val PLATFORM_DELAY_MILLIS = 5L
    }
}
