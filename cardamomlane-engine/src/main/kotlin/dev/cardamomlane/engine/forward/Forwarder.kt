package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.fleet.Fleet
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.log.DecisionLog

/**
 * Chooses the host on which an operation runs, and keeps the connections to the other hosts.
 *
 * All operations of a customer run on one member, so that its rate is counted in one place and few connections to each
 * target suffice and stay open.
 *
 * Not safe for use by several threads.
 */
public class Forwarder internal constructor(
    private val self: Member,
    private val isSelfReady: () -> Boolean,
    private val timers: TimerService,
    private val fleet: Fleet,
    private val dialer: HostDialer,
    private val log: DecisionLog,
) {
    private val connections = HashMap<String, HostConnection>()
    private val avoidedUntilMillis = HashMap<String, Long>()

    /** What the members say about customers that are over their rates. */
    internal val hints = ForwardingHints()

    /** The newest configuration version by which a member has decided for this host. */
    public var newestVersion: Long = -1
        private set

    /** Called with the member and its configuration version when that is newer than [newestVersion]. */
    public var onNewerConfiguration: (Member, Long) -> Unit = { _, _ -> }

    /**
     * Where an operation of [customerName] runs, other than on the hosts [tried], by name. A member that knows no ready
     * one, itself included, runs it all the same: it may still finish what its callers began.
     */
    internal fun place(customerName: String, tried: Set<String> = emptySet()): ServingPlace {
        val nowMillis = timers.nowMillis()
        val isMember = fleet.isRegistered
        val others = if (isMember) fleet.readyPeers(nowMillis) else fleet.directory.usable(nowMillis)
        val left = others.filter { it.name !in tried && !isAvoided(it, nowMillis) } +
            listOfNotNull(self.takeIf { isMember && isSelfReady() })
        val chosen = RendezvousHash.pick(left, customerName)
            ?: return if (isMember) ServingPlace.Here else ServingPlace.Nowhere
        return if (chosen.name == self.name) ServingPlace.Here else ServingPlace.Remote(connection(chosen))
    }

    private fun isAvoided(member: Member, nowMillis: Long): Boolean =
        nowMillis < (avoidedUntilMillis[member.name] ?: return false)

    private fun connection(member: Member): HostConnection {
        val known = connections[member.name]
        if (known != null && known.member == member) return known
        return HostConnection(member, timers, log, dialer, events).also { connections[member.name] = it }
    }

    /** Records the configuration version by which [connection]'s member decided. */
    internal fun decidedBy(connection: HostConnection, version: Long) {
        if (version <= newestVersion) return
        newestVersion = version
        onNewerConfiguration(connection.member, version)
    }

    /** Since when each operation that runs on another host has been under way. */
    internal fun startedAtMillis(): List<Long> = connections.values.flatMap { it.startedAtMillis() }

    /** Closes connections that have not been used for long. Called now and then. */
    internal fun closeUnused() {
        val nowMillis = timers.nowMillis()
        connections.values.filter { it.isIdle && nowMillis - it.usedAtMillis > UNUSED_CLOSE_MILLIS }
            .forEach { it.close() }
    }

    private val events = object : HostConnectionEvents {
        override fun onLeaving(connection: HostConnection) {
            log.event("forward", "member_leaving", "member", connection.member.name)
            avoid(connection.member, LEAVING_AVOID_MILLIS)
            fleet.directory.leaving(connection.member.name)
        }

        override fun onSilent(connection: HostConnection) {
            log.event("forward", "member_silent", "member", connection.member.name)
            avoid(connection.member, SILENT_AVOID_MILLIS)
        }

        override fun onEnded(connection: HostConnection) {
            if (connections[connection.member.name] === connection) connections.remove(connection.member.name)
            avoid(connection.member, ENDED_AVOID_MILLIS)
        }
    }

    private fun avoid(member: Member, millis: Long) {
        avoidedUntilMillis[member.name] = timers.nowMillis() + millis
    }

    private companion object {
        /** How long a member is left out after it said that it stops, did not answer, or ended a connection. */
        const val LEAVING_AVOID_MILLIS = 2_000L
        const val SILENT_AVOID_MILLIS = 1_000L
        const val ENDED_AVOID_MILLIS = 250L

        const val UNUSED_CLOSE_MILLIS = 30_000L
    }
}
