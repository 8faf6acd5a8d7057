package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.log.DecisionLog

/**
 * Vacates the seats of members that are lost: this host has got no heartbeat from one for [DEAD_MILLIS], and no alive
 * member reports that it has got one lately. Only the first alive member does it, and only while a majority is alive.
 *
 * Not safe for use by several threads.
 */
internal class MemberRemoval(private val fleet: Fleet, private val reader: StoreReader, private val log: DecisionLog) {
    private val triedAtMillis = HashMap<String, Long>()

    /** Vacates the seats that are due. Called at each heartbeat. */
    fun tick(nowMillis: Long) {
        if (!fleet.controlTable.isSettled || !fleet.groupRecords.isCurrent(nowMillis)) return
        if (fleet.rank(nowMillis) != 0 || fleet.aliveCount(nowMillis) < fleet.majority) return
        val heardElsewhere = fleet.alivePeers(nowMillis).flatMapTo(HashSet()) {
            it.lastHeartbeat?.heardMembers ?: emptyList()
        }
        fleet.peers.filter { isLost(it, nowMillis) && it.member.name !in heardElsewhere }
            .forEach { remove(it.member.name, nowMillis) }
    }

    private fun isLost(peer: Peer, nowMillis: Long): Boolean =
        !peer.isAlive(nowMillis, DEAD_MILLIS) && nowMillis - peer.listedAtMillis >= DEAD_MILLIS

    private fun remove(name: String, nowMillis: Long) {
        val row = fleet.rows.firstOrNull { it.member.name == name } ?: return
        if (nowMillis - (triedAtMillis[name] ?: GroupRecords.NEVER) < DEAD_MILLIS) return
        triedAtMillis[name] = nowMillis
        log.event("fleet", "member_dropped", "member", name, "seat", row.seat)
        fleet.controlTable.writeSeat(SeatChange(row.seat, member = null, row.version)).subscribe(
            { reader.read() },
            { failure -> log.event("fleet", "member_kept", "member", name, "reason", failure.message) },
        )
    }

    private companion object {
        /**
         * How long a member must have been silent. Also the least time between two attempts to remove it, and from its
         * listing to its removal.
         */
        const val DEAD_MILLIS = 10_000L
    }
}
