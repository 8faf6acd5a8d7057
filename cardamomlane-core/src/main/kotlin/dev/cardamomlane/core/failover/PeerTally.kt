package dev.cardamomlane.core.failover

import dev.cardamomlane.core.HostId

/** Collects the answers of peers to one [FailoverAction.AskPeers] that was sent at [queriedAtMillis]. */
internal class PeerTally(private val queriedAtMillis: Long) {
    private val views = LinkedHashMap<HostId, PeerView>()
    private var peers: Int? = null

    fun onQueried(count: Int) {
        peers = count
    }

    fun onAnswer(view: PeerView) {
        views[view.host] = view
    }

    /** Whether every peer has answered or [FailoverSettings.queryTimeoutMillis] have passed. */
    fun isComplete(nowMillis: Long, settings: FailoverSettings): Boolean =
        views.size >= (peers ?: Int.MAX_VALUE) || nowMillis - queriedAtMillis >= settings.queryTimeoutMillis

    /** Whether there are peers and none has answered. */
    val isUnanswered: Boolean
        get() = views.isEmpty() && peers != 0

    fun any(reach: PrimaryReach): Boolean = views.values.any { it.reach == reach }

    /** The peers that also suspect the primary. */
    fun suspecting(): List<HostId> = views.values.filter { it.reach == PrimaryReach.SUSPECTED }.map { it.host }
}
