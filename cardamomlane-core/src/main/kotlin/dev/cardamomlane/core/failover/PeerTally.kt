package dev.cardamomlane.core.failover

import dev.cardamomlane.core.HostId

/** The answers of peers to one question. */
internal class PeerTally(private val askedAtMillis: Long) {
    private val views = LinkedHashMap<HostId, PeerView>()
    private var peers: Int? = null

    fun onAsked(count: Int) {
        peers = count
    }

    fun onAnswer(view: PeerView) {
        views[view.host] = view
    }

    /** Whether every peer has answered, or the rest is not waited for any longer. */
    fun isComplete(nowMillis: Long, settings: FailoverSettings): Boolean =
        views.size >= (peers ?: Int.MAX_VALUE) || nowMillis - askedAtMillis >= settings.askTimeoutMillis

    /** Whether there are peers and none has answered. */
    val isSilent: Boolean
        get() = views.isEmpty() && peers != 0

    fun any(reach: PrimaryReach): Boolean = views.values.any { it.reach == reach }

    /** The peers that suspect the primary too. */
    fun suspecting(): List<HostId> = views.values.filter { it.reach == PrimaryReach.SUSPECTED }.map { it.host }
}
