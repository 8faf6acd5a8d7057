package dev.cardamomlane.daemon.fleet

import arrow.core.Either
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.LeaseRow
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.fleet.MemberRecord
import dev.cardamomlane.core.fleet.RevisionHead
import dev.cardamomlane.daemon.settings.IpAddress
import dev.cardamomlane.store.Row
import dev.cardamomlane.store.RowReader
import dev.cardamomlane.store.UnusableRow
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Encodes and decodes the fleet's rows of the platform's table, whose values are JSON. */
internal object FleetRows {
    private val json = Json { encodeDefaults = true }
    private val records = RowReader(RecordValue.serializer())
    private val heads = RowReader(HeadValue.serializer())
    private val leases = RowReader(LeaseValue.serializer())

    fun encodeRecord(record: MemberRecord): String = json.encodeToString(
        RecordValue.serializer(),
        RecordValue(record.version, record.members.map(::value), record.previous?.map(::value)),
    )

    fun decodeRecord(row: Row): Either<UnusableRow, MemberRecord> = records.read(row) { value ->
        val previous = value.previous?.map(::member)?.toImmutableList()
        MemberRecord(value.version, value.members.map(::member).toImmutableList(), previous)
    }

    fun encodeHead(head: RevisionHead): String =
        json.encodeToString(HeadValue.serializer(), HeadValue(head.accepted, head.proposed))

    fun decodeHead(row: Row): Either<UnusableRow, RevisionHead> =
        heads.read(row) { RevisionHead(it.accepted, it.proposed) }

    fun encodeLease(member: Member, isRetired: Boolean): String = json.encodeToString(
        LeaseValue.serializer(),
        LeaseValue(member.id.incarnation, member.peerAddress, isRetired),
    )

    /** Decodes the lease in [row]. A host without an address at which others can reach it is refused. */
    fun decodeLease(row: Row): Either<UnusableRow, LeaseRow> = leases.read(row) { value ->
        requireNotNull(IpAddress.parse(value.peerAddress)) { "\"${value.peerAddress}\" is no address of a peer" }
        val host = HostId(row.key.removePrefix(ControlTable.LEASE_PREFIX))
        LeaseRow(Member(MemberId(host, value.incarnation), value.peerAddress), row.version, value.retired)
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
