package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.LeaseRow
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.fleet.MemberRecord
import dev.cardamomlane.core.fleet.RevisionHead
import dev.cardamomlane.store.Row
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes and decodes the fleet's rows of the platform's table, whose values are JSON. */
internal object FleetRows {
    private val json = Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

    fun encodeRecord(record: MemberRecord): String = json.encodeToString(
        RecordValue.serializer(),
        RecordValue(record.version, record.members.map(::value), record.previous?.map(::value)),
    )

    fun decodeRecord(row: Row): MemberRecord {
        val value = json.decodeFromString(RecordValue.serializer(), row.value)
        val previous = value.previous?.map(::member)?.toImmutableList()
        return MemberRecord(value.version, value.members.map(::member).toImmutableList(), previous)
    }

    fun encodeHead(head: RevisionHead): String =
        json.encodeToString(HeadValue.serializer(), HeadValue(head.accepted, head.proposed))

    fun decodeHead(row: Row): RevisionHead =
        json.decodeFromString(HeadValue.serializer(), row.value).let { RevisionHead(it.accepted, it.proposed) }

    fun encodeLease(member: Member, isRetired: Boolean): String = json.encodeToString(
        LeaseValue.serializer(),
        LeaseValue(member.id.incarnation, member.peerAddress, isRetired),
    )

    /** Decodes the lease in [row]. Returns null when its value is not a lease. */
    fun decodeLease(row: Row): LeaseRow? = try {
        val value = json.decodeFromString(LeaseValue.serializer(), row.value)
        val host = HostId(row.key.removePrefix(ControlTable.LEASE_PREFIX))
        LeaseRow(Member(MemberId(host, value.incarnation), value.peerAddress), row.version, value.retired)
    } catch (_: SerializationException) {
        null
    }

    private fun value(member: Member) = MemberValue(member.id.host.value, member.id.incarnation, member.peerAddress)

    private fun member(value: MemberValue) = Member(MemberId(HostId(value.host), value.incarnation), value.peerAddress)

    @Serializable
    private class MemberValue(val host: String, val incarnation: Long, val peerAddress: String)

    @Serializable
    private class RecordValue(val version: Long, val members: List<MemberValue>, val previous: List<MemberValue>?)

    @Serializable
    private class HeadValue(val accepted: Long, val proposed: Long? = null)

    @Serializable
    private class LeaseValue(val incarnation: Long, val peerAddress: String, val retired: Boolean = false)
}
