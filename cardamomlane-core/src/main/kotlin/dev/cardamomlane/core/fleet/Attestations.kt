package dev.cardamomlane.core.fleet

/**
 * When each other member was last known to know of no change that this host does not know.
 *
 * Times are this host's, of the sending of the question. A relayed entry counts from this host's own question less the
 * age that the relay stated, so that every relay only makes it older.
 */
internal class Attestations(private val self: MemberId) {
    private val lastMillis = HashMap<MemberId, Long>()

    fun heard(member: MemberId, askedAtMillis: Long) {
        if (member == self) return
        lastMillis.merge(member, askedAtMillis, ::maxOf)
    }

    /** Forgets members that are not in [record]. */
    fun retain(record: MemberRecord) {
        val known = record.all.mapTo(HashSet()) { it.id }
        lastMillis.keys.retainAll(known)
    }

    fun isFresh(member: MemberId, sinceMillis: Long): Boolean = (lastMillis[member] ?: Long.MIN_VALUE) > sinceMillis

    fun countFresh(members: List<Member>, sinceMillis: Long): Int = members.count { isFresh(it.id, sinceMillis) }

    /** Encodes the ages of [members] at [nowMillis]; this host itself is of age 0. */
    fun encode(members: List<Member>, nowMillis: Long): ByteArray = ByteArray(members.size) { index ->
        val member = members[index].id
        val atMillis = if (member == self) nowMillis else lastMillis[member]
        encodeAge(atMillis, nowMillis).toByte()
    }

    /** Takes over the ages that a relay with the same [members] stated in answer to a question of [askedAtMillis]. */
    fun merge(members: List<Member>, ages: ByteArray, askedAtMillis: Long) {
        for (index in 0 until minOf(members.size, ages.size)) {
            val age = ages[index].toInt() and BYTE_MASK
            if (age != PeerAnswer.NO_AGE) heard(members[index].id, askedAtMillis - age * PeerAnswer.AGE_UNIT_MILLIS)
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
