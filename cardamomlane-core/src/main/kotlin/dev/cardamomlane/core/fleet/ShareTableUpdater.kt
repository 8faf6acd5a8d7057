package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.ShareBasis
import dev.cardamomlane.core.limits.ShareTable
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** Builds a new [ShareTable] whenever the members or the limits that any host may be using change. */
internal class ShareTableUpdater {
    private var lastKey: Key? = null
    private val limitsByRevision = HashMap<Long, ImmutableMap<CustomerId, Allowance>>()

    /** Returns the new table if it changed since the last call, else null. */
    fun update(record: MemberRecord, revisions: KnownRevisions): ShareTable? {
        val configurations = listOfNotNull(revisions.accepted ?: return null, revisions.proposed)
        val key = Key(record.version, record.isSettled, configurations.map { it.revision })
        if (key == lastKey) return null
        lastKey = key
        limitsByRevision.keys.retainAll(key.revisions.toSet())
        val bases = record.groups.flatMap { group ->
            val members = group.map { it.id }.toImmutableList()
            configurations.map { ShareBasis(members, limitsOf(it)) }
        }
        return ShareTable(bases.toImmutableList())
    }

    private fun limitsOf(configuration: Configuration): ImmutableMap<CustomerId, Allowance> =
        limitsByRevision.getOrPut(configuration.revision) {
            configuration.rules.limits.mapValues { (_, limit) -> Allowance(limit.ratePerSecond, limit.burst) }
                .toImmutableMap()
        }

    private data class Key(val recordVersion: Long, val isSettled: Boolean, val revisions: List<Long>)
}
