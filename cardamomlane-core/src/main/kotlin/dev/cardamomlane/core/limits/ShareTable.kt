package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.MemberId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import java.util.concurrent.ConcurrentHashMap

/**
 * The share that each member may use of each customer's allowance.
 *
 * While the members or the limits change, some hosts still use the old basis and some already use the new one. A table
 * of both gives each member the smaller of its two shares, so that the sum over all hosts stays within both bases until
 * no host uses the old one any more.
 *
 * @property bases every basis that a host in good standing may be using at this moment
 */
public class ShareTable(private val bases: ImmutableList<ShareBasis>) {
    private val holdings = ConcurrentHashMap<CustomerId, CustomerHoldings>()

    /** True if at least one basis limits the customer. */
    public fun isLimited(customer: CustomerId): Boolean = bases.any { customer in it.limits }

    /** The members that hold a share of the customer's allowance in every basis that limits the customer. */
    public fun holders(customer: CustomerId): ImmutableList<MemberId> = of(customer).holders

    /** The share of the customer's allowance that [member] may use, or [Allowance.NONE] if it is not a holder. */
    public fun holding(member: MemberId, customer: CustomerId): Allowance {
        val found = of(customer)
        return if (member in found.holders) found.share else Allowance.NONE
    }

    /** The share that each holder has of the customer's allowance. */
    public fun share(customer: CustomerId): Allowance = of(customer).share

    private fun of(customer: CustomerId): CustomerHoldings = holdings.computeIfAbsent(customer, ::compute)

    private fun compute(customer: CustomerId): CustomerHoldings {
        val limiting = bases.filter { customer in it.limits }
        if (limiting.isEmpty()) return CustomerHoldings(emptyList<MemberId>().toImmutableList(), Allowance.NONE)
        val holders = limiting.map {
            it.holders(customer)
        }.reduce { all, next -> all.filter { it in next }.toImmutableList() }
        return CustomerHoldings(holders, limiting.map { it.share(customer) }.reduce(Allowance::min))
    }

    private class CustomerHoldings(val holders: ImmutableList<MemberId>, val share: Allowance)

    /** Contains the table of a host that knows no members. */
    public companion object {
        /** Limits no customer and gives no member a share. */
        public val EMPTY: ShareTable = ShareTable(emptyList<ShareBasis>().toImmutableList())
    }
}
