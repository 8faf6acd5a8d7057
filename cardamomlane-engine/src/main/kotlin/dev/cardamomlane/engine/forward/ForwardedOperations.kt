package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.engine.session.CallerLink
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.session.SessionServices

/**
 * All operations that other hosts forward to this one, over all their connections.
 *
 * Not safe for use by several threads.
 *
 * @param services of this host
 * @param mayServe false while this host takes no forwarded operations, for example because it has no seat
 */
internal class ForwardedOperations(
    private val services: SessionServices,
    private val timers: TimerService,
    private val mayServe: () -> Boolean,
) : ForwardedSessions {
    private val links = LinkedHashSet<IncomingOperations>()
    private var isLeaving = false

    override val configurationVersion: Long get() = services.configuration.version

    /** True when no forwarded operation is under way, and all answers are on their way. */
    val isIdle: Boolean get() = links.all { it.isIdle }

    /** Takes over a connection that another host opened, and returns the listener for its events. */
    fun onLink(link: HostLink): HostLinkListener {
        val operations = IncomingOperations(link, timers, this)
        links += operations
        if (isLeaving) operations.announceLeaving()
        return operations
    }

    override fun open(link: CallerLink, database: String, key: String?): CallerSession? =
        if (isLeaving || !mayServe()) null else CallerSession(services, link, database, key, isForwarded = true)

    override fun lastCommit(start: OperationStart): LogCommit? {
        val group = services.configuration.routes[start.database]?.group ?: return null
        return start.lastCommit?.let { LogCommit(group, it) }
    }

    override fun hint(start: OperationStart): SendHint? {
        val customer = services.configuration.customersByKey[start.key] ?: return null
        val route = services.configuration.routes[start.database] ?: return null
        val fraction = services.gate.sendFraction(customer, route.priority)
        return if (fraction >= 1) null else SendHint(fraction.toFloat(), HINT_MILLIS)
    }

    override fun onRefusedByHint(start: OperationStart, count: Int) {
        val customer = services.configuration.customersByKey[start.key] ?: return
        val route = services.configuration.routes[start.database] ?: return
        services.gate.onRefusedElsewhere(customer, route.priority, count)
    }

    override fun close(session: CallerSession) = session.onClosed()

    override fun onLinkClosed(operations: IncomingOperations) {
        links -= operations
    }

    /** Tells the other hosts that this one takes no new operations, and takes none from now on. */
    fun leave() {
        isLeaving = true
        links.forEach { it.announceLeaving() }
    }

    /** Calls [action] with each operation under way. */
    fun forEach(action: (IncomingOperation) -> Unit) {
        links.toList().forEach { it.forEach(action) }
    }

    companion object {
        /** How long a hint holds; hosts with few operations use it too. An answer without a hint ends it sooner. */
        const val HINT_MILLIS = 500
    }
}
