package dev.cardamomlane.engine.forward

import dev.cardamomlane.engine.fleet.Member
import kotlin.math.ln

/**
 * Weighted rendezvous hashing: every host that knows the same members picks the same one for a key, each member gets
 * keys in proportion to its cores, and a member that goes moves only its own keys.
 */
internal object RendezvousHash {
    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val MIX_1 = -49064778989728563L
    private const val MIX_2 = -4265267296055464877L
    private const val MANTISSA_BITS = 53
    private const val MIN_CORES = 0.05

    /** The member to use for [key], or null when [members] is empty. */
    fun pick(members: Collection<Member>, key: String): Member? = members.minByOrNull { cost(it, key) }

    private fun cost(member: Member, key: String): Double {
        val bits = mix(hash(member.name + '/' + key)) ushr (Long.SIZE_BITS - MANTISSA_BITS)
        val uniform = (bits + 1).toDouble() / ((1L shl MANTISSA_BITS) + 1)
        return -ln(uniform) / maxOf(MIN_CORES, member.cores)
    }

    private fun hash(text: String): Long = text.fold(FNV_OFFSET) { hash, char ->
        (hash xor char.code.toLong()) *
            FNV_PRIME
    }

    private fun mix(hash: Long): Long {
        val first = (hash xor (hash ushr 33)) * MIX_1
        val second = (first xor (first ushr 33)) * MIX_2
        return second xor (second ushr 33)
    }
}
