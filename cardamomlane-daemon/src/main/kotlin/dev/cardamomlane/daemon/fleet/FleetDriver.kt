package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.SequenceNumbers
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.failover.PeerView
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.fleet.FleetAction
import dev.cardamomlane.core.fleet.FleetEvent
import dev.cardamomlane.core.fleet.FleetMachine
import dev.cardamomlane.core.fleet.FleetTimings
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.ShareLendingLimiter
import dev.cardamomlane.core.limits.ShareMessage
import dev.cardamomlane.daemon.FleetGate
import dev.cardamomlane.daemon.GuardedParts
import dev.cardamomlane.daemon.settings.IpAddress
import dev.cardamomlane.store.PlatformTable
import dev.cardamomlane.store.RateLimitedLog
import dev.cardamomlane.store.WriteOutcome
import dev.cardamomlane.wire.peer.FleetMessages
import dev.cardamomlane.wire.peer.PeerMessage
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.collections.immutable.toImmutableList
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import java.net.InetSocketAddress
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Runs the [FleetMachine] of this host: passes it heartbeats, results of the platform and messages of other hosts, and
 * performs its actions. It also owns the links to other hosts and the limiter of customers' requests.
 *
 * Safe for use by several threads: one lock guards the state machine and the limiter, and nothing blocks while holding
 * it.
 *
 * @param requestHandler handles the requests of other hosts; called on the threads of the links
 */
internal class FleetDriver(
    host: HostId,
    private val peerAddress: InetSocketAddress,
    secret: String,
    private val table: PlatformTable,
    private val timers: TimerService,
    meters: MeterRegistry,
    private val requestHandler: PeerRequestHandler,
    timings: FleetTimings = FleetTimings(),
    incarnation: Long = System.currentTimeMillis(),
) {
    private val self = Member(MemberId(host, incarnation), IpAddress.format(peerAddress))
    private val lock = ReentrantLock()
    private val machine = FleetMachine(self, timings)
    private val links = PeerLinks(self.id, secret, timers, PeerMeters(meters), ::addressOf, ::onMessage)
    private val limiter = ShareLendingLimiter(self.id, { to, message -> links.send(to, FleetMessages.of(message)) })
    private val control = ControlTable(table)
    private val lease = HostLease(table, self)
    private val viewRequests = GroupViewRequests(timers, links::send)
    private val heartbeatMillis = timings.heartbeatMillis
    private val parts = GuardedParts(RateLimitedLog(timers::nowMillis))
    private val revisionInForce = InForceTracker()
    private var heartbeats: TimerSubscription? = null

    /** The state of the fleet as the data path uses it. */
    val gate: FleetGate = object : FleetGate {
        override fun configuration(): Configuration? = lock.withLock { machine.configuration }

        override fun inStanding(): Boolean = lock.withLock { machine.isInStanding(timers.nowMillis()) }

        override fun admit(customer: CustomerId): Admission = lock.withLock {
            val nowMillis = timers.nowMillis()
            limiter.admit(customer, machine.isInStanding(nowMillis), nowMillis)
        }
    }

    /** The state of the fleet for operators. */
    val status: FleetStatus
        get() = lock.withLock {
            FleetStatus(
                inStanding = machine.isInStanding(timers.nowMillis()),
                revision = revisionInForce.revision,
                revisionInForceSinceMillis = revisionInForce.sinceMillis,
                recordVersion = machine.record.version,
                isRecordSettled = machine.record.isSettled,
                members = machine.record.members.map { it.id.host }.toImmutableList(),
                trackedCustomers = limiter.trackedCustomers,
            )
        }

    /** Listens for peers and starts the heartbeats. Throws if the peer address can't be listened on. */
    fun start() {
        links.start(peerAddress)
        Logger.info { "fleet: ${self.id} listens for peers on ${self.peerAddress}" }
        onEvent(FleetEvent.HeartbeatDue)
        heartbeats = timers.every(heartbeatMillis, ::heartbeat)
    }

    /**
     * Returns the loans of share, retires the lease and closes the links. To be subscribed to after the last request.
     * Failures of the platform are ignored.
     */
    fun stop(): Mono<Void> = Mono.defer {
        heartbeats?.cancel()
        lock.withLock {
            limiter.returnAll(timers.nowMillis())
            onEvent(FleetEvent.Ended)
        }
        lease.retire().then().onErrorComplete().doFinally { links.stop() }
    }

    /** How many members [askGroupViews] would ask now. */
    fun askedPeerCount(): Int = minOf(otherMembers().size, MAX_ASKED_PEERS)

    /** Asks other members for their view of [database]. */
    fun askGroupViews(database: DatabaseId, timeoutMillis: Long): Flux<PeerView> =
        Flux.defer { viewRequests.ask(otherMembers().take(MAX_ASKED_PEERS), database, timeoutMillis) }

    /** Announces to every other member that [primary] is the primary of [term]. */
    fun announceTerm(database: DatabaseId, term: Long, primary: TargetId) {
        otherMembers().forEach { links.send(it, PeerMessage.TermAnnouncement(database.value, term, primary.value)) }
    }

    /** Forwards a cancel request to [host]. Returns false when [host] is not a member. */
    fun forwardCancel(host: HostId, processId: Int, secretKey: Int): Boolean {
        val member = otherMembers().firstOrNull { it.host == host } ?: return false
        links.send(member, PeerMessage.CancelForward(processId, secretKey))
        return true
    }

    private fun heartbeat() {
        parts.run("fleet: closing silent links") { links.closeSilent() }
        parts.run("fleet: the tick of the limiter") { lock.withLock { limiter.tick(timers.nowMillis()) } }
        onEvent(FleetEvent.HeartbeatDue)
    }

    private fun onEvent(event: FleetEvent) {
        val actions = lock.withLock {
            val nowMillis = timers.nowMillis()
            val result = machine.on(event, nowMillis)
            result.filterIsInstance<FleetAction.InstallShares>().forEach { limiter.install(it.table, nowMillis) }
            revisionInForce.update(machine.configuration)
            result
        }
        parts.runEach("fleet: an action", actions, ::perform)
    }

    private fun perform(action: FleetAction) {
        when (action) {
            is FleetAction.Ask -> links.send(action.to, FleetMessages.of(action.question))
            is FleetAction.Reply -> links.send(action.to, FleetMessages.of(action.answer))
            FleetAction.ReadPlatform -> readPlatform()
            FleetAction.ReadLeases -> forwardResult(
                control.leases().map {
                    FleetEvent.LeasesRead(it)
                },
                FleetEvent.PlatformFailed,
            )
            FleetAction.RenewLease -> renewLease()
            is FleetAction.LoadRevision -> loadRevision(action)
            is FleetAction.WriteControl -> writeControl(action)
            is FleetAction.InstallShares -> Unit
        }
    }

    private fun readPlatform() {
        val requestedAtMillis = timers.nowMillis()
        forwardResult(control.read().map { FleetEvent.PlatformRead(requestedAtMillis, it) }, FleetEvent.PlatformFailed)
    }

    private fun renewLease() {
        lease.renew().subscribe(
            { isOwn -> if (!isOwn) onLeaseLost() },
            { Logger.debug { "fleet: renewing the lease failed: ${it.message}" } },
        )
    }

    private fun onLeaseLost() {
        Logger.warn { "fleet: another incarnation of ${self.id.host} took over the lease, this one stops serving" }
        onEvent(FleetEvent.Ended)
    }

    private fun loadRevision(action: FleetAction.LoadRevision) {
        val from = action.from
        if (from != null) return links.send(from, PeerMessage.RevisionRequest(action.revision))
        forwardResult(
            control.revision(action.revision).map {
                FleetEvent.RevisionLoaded(it)
            },
            FleetEvent.PlatformFailed,
        )
    }

    private fun writeControl(action: FleetAction.WriteControl) {
        val record = action.new.record
        Logger.info { "fleet: writing members ${record.version}, settled ${record.isSettled}, ${action.new.head}" }
        val ended = control.write(action.expected, action.new).map { outcome ->
            FleetEvent.ControlWriteEnded(action.new.takeIf { outcome == WriteOutcome.Applied })
        }
        forwardResult(ended, FleetEvent.ControlWriteEnded(written = null))
    }

    private fun forwardResult(answer: Mono<out FleetEvent>, failure: FleetEvent) {
        answer.subscribe({ onEvent(it) }) {
            Logger.debug { "fleet: platform request failed: ${it.message}" }
            onEvent(failure)
        }
    }

    private fun onMessage(from: MemberId, message: PeerMessage) {
        when (message) {
            is PeerMessage.Question -> onEvent(FleetEvent.Question(from, FleetMessages.question(message)))
            is PeerMessage.Answer -> onEvent(FleetEvent.Answer(from, FleetMessages.answer(message)))
            is PeerMessage.RevisionRequest -> sendRevision(from, message.revision)
            is PeerMessage.RevisionContent ->
                FleetMessages.configuration(message)?.let { onEvent(FleetEvent.RevisionLoaded(it)) }
            is PeerMessage.LoanRequest -> onShareMessage(from, FleetMessages.share(message))
            is PeerMessage.LoanGrant -> onShareMessage(from, FleetMessages.share(message))
            is PeerMessage.LoanReturn -> onShareMessage(from, FleetMessages.share(message))
            is PeerMessage.GroupViewRequest -> sendGroupView(from, message)
            is PeerMessage.GroupViewResponse -> viewRequests.onResponse(from, message)
            is PeerMessage.TermAnnouncement -> {
                val term = SequenceNumbers.requireValid("term", message.term)
                requestHandler.onNewTerm(DatabaseId(message.database), term, TargetId(message.primary))
            }
            is PeerMessage.CancelForward -> requestHandler.onCancel(message.processId, message.secretKey)
            is PeerMessage.Hello, is PeerMessage.Proof -> Unit
        }
    }

    private fun onShareMessage(from: MemberId, message: ShareMessage) = lock.withLock {
        val nowMillis = timers.nowMillis()
        limiter.onMessage(from, message, machine.isInStanding(nowMillis), nowMillis)
    }

    private fun sendRevision(to: MemberId, revision: Long) {
        val content = lock.withLock { machine.content(revision) } ?: return
        links.send(to, FleetMessages.of(content))
    }

    private fun sendGroupView(to: MemberId, request: PeerMessage.GroupViewRequest) {
        val view = requestHandler.groupView(DatabaseId(request.database)) ?: return
        val response =
            PeerMessage.GroupViewResponse(
                request.askId,
                request.database,
                view.term,
                view.primary?.value,
                view.reach.name,
            )
        links.send(to, response)
    }

    private fun otherMembers(): List<MemberId> = lock.withLock {
        machine.record.members.map { it.id }.filter { it != self.id }
    }

    private fun addressOf(member: MemberId): String? = lock.withLock {
        val known = machine.record.all.firstOrNull { it.id == member }
            ?: machine.leaseRows.firstOrNull { it.member.id == member }?.member
        known?.peerAddress
    }

    private companion object {
        const val MAX_ASKED_PEERS = 16
    }
}
