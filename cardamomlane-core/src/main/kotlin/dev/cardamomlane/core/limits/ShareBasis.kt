package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableList

/**
 * The members of record and the limits from which the shares are computed.
 *
 * A customer's allowance is divided into equal shares of at most [MAX_HOLDERS] holders. Every host selects the same
 * holders, by rendezvous hashing. With few holders the tokens are not scattered: a request that finds no token at one
 * holder finds one at the next. A small burst has a single holder. The shares of one customer add up to at most its
 * allowance.
 */
public class ShareBasis(
    public val members: ImmutableList<MemberId>,
    public val limits: ImmutableMap<CustomerId, Allowance>,
) {
    /** The members that hold a share of the customer's allowance; empty if the customer has no limit. */
    public fun holders(customer: CustomerId): ImmutableList<MemberId> {
        val limit = limits[customer] ?: return NO_HOLDERS
        val count = holderCount(limit)
        return members.sortedByDescending { weight(it, customer) }.take(count).toImmutableList()
    }

    /** The share that each holder has of the customer's allowance, or [Allowance.NONE] if there is none. */
    public fun share(customer: CustomerId): Allowance {
        val limit = limits[customer] ?: return Allowance.NONE
        return if (members.isEmpty()) Allowance.NONE else limit.scaled(1.0 / holderCount(limit))
    }

    private fun holderCount(limit: Allowance): Int =
        (limit.burst / MIN_SHARE_TOKENS).toInt().coerceIn(1, MAX_HOLDERS).coerceAtMost(maxOf(1, members.size))

    private fun weight(member: MemberId, customer: CustomerId): Long {
        val seed = member.host.value.hashCode() * HOST_FACTOR + customer.value.hashCode() * CUSTOMER_FACTOR
        return mix(seed)
    }

    /** Mixes the bits of [seed] as the finalizer of SplitMix64 does. */
    private fun mix(seed: Long): Long {
        var value = seed
        value = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
        value = (value xor (value ushr 27)) * -0x6b2fb644ecceee15L
        return value xor (value ushr 31)
    }

    /** The bounds of the division into shares. */
    public companion object {
        /** The maximum number of members that hold a share of one customer's allowance. */
        public const val MAX_HOLDERS: Int = 2

        /** The minimum burst of a share, unless the customer has only one holder. */
        private const val MIN_SHARE_TOKENS = 20.0
        private const val HOST_FACTOR = -0x61c8864680b583ebL
        private const val CUSTOMER_FACTOR = -0x3d4d51c2d82b14b1L
        private val NO_HOLDERS: ImmutableList<MemberId> = emptyList<MemberId>().toImmutableList()
    }
}
