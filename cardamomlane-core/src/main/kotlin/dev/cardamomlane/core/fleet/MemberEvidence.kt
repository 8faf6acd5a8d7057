package dev.cardamomlane.core.fleet

/**
 * Holds, for each other member, the latest time at which that member was known to know of no change that this host does
 * not know.
 *
 * Each time is when the question was sent, on this host's clock. An entry that another member relays gets the time of
 * this host's question to that member minus the age that the member stated, so a relay can only make an entry older.
 */
internal class MemberEvidence(private val self: MemberId) {
    private val seenAtMillis = HashMap<MemberId, Long>()

    /** Records that [member], when asked at [sentAtMillis], knew of no change that this host does not know. */
    fun update(member: MemberId, sentAtMillis: Long) {
        if (member == self) return
        seenAtMillis.merge(member, sentAtMillis, ::maxOf)
    }

    /** Removes the members that are not in [record]. */
    fun retain(record: MemberRecord) {
        val known = record.all.mapTo(HashSet()) { it.id }
        seenAtMillis.keys.retainAll(known)
    }

    fun isFresh(member: MemberId, sinceMillis: Long): Boolean = (seenAtMillis[member] ?: Long.MIN_VALUE) > sinceMillis

    fun countFresh(members: List<Member>, sinceMillis: Long): Int = members.count { isFresh(it.id, sinceMillis) }

    /** Encodes the ages of [members] at [nowMillis] as [PeerAnswer.ages]; this host's own age is 0. */
    fun encode(members: List<Member>, nowMillis: Long): ByteArray = ByteArray(members.size) { index ->
        val member = members[index].id
        val atMillis = if (member == self) nowMillis else seenAtMillis[member]
        encodeAge(atMillis, nowMillis).toByte()
    }

    /** Merges the [ages] in the answer of a peer with the same [members] to a question sent at [sentAtMillis]. */
    fun merge(members: List<Member>, ages: ByteArray, sentAtMillis: Long) {
        for (index in 0 until minOf(members.size, ages.size)) {
            val age = ages[index].toInt() and BYTE_MASK
            if (age != PeerAnswer.NO_AGE) update(members[index].id, sentAtMillis - age * PeerAnswer.AGE_UNIT_MILLIS)
        }
    }

    private fun encodeAge(atMillis: Long?, nowMillis: Long): Int {
        if (atMillis == null) return PeerAnswer.NO_AGE
        val units = (nowMillis - atMillis + PeerAnswer.AGE_UNIT_MILLIS - 1) / PeerAnswer.AGE_UNIT_MILLIS
        return units.coerceIn(0, PeerAnswer.NO_AGE.toLong()).toInt()
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
