package dev.cardamomlane.engine

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.CustomerUsage
import dev.cardamomlane.core.limits.DemandShareLimiter
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.engine.config.Customer
import dev.cardamomlane.engine.fleet.CustomerDemand
import dev.cardamomlane.engine.fleet.Fleet
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.fleet.Heartbeat
import dev.cardamomlane.engine.fleet.Peer
import dev.cardamomlane.engine.session.AdmissionGate

/**
 * Applies the customers' rates to the operations that this host runs, by its share of the demand on all members.
 *
 * Not safe for use by several threads.
 *
 * @param urgency divides the rate of a customer that is over it by priority, or null where arrival alone decides
 */
internal class CustomerLimits(
    private val fleet: Fleet,
    private val groupRecords: GroupRecords,
    private val timers: TimerService,
    private val urgency: RateByUrgency? = null,
) : AdmissionGate {
    private val shares = DemandShareLimiter(
        startedAtMillis = timers.nowMillis(),
        baseFraction = DemandShareLimiter.PLACED_BASE_FRACTION,
    )

    override fun admit(customer: Customer, priority: Int, isRepeated: Boolean): Admission {
        val nowMillis = timers.nowMillis()
        if (!groupRecords.isCurrent(nowMillis)) {
            return Admission.Refused(RefusalReason.NOT_IN_STANDING, NO_PROOF_RETRY_MILLIS)
        }
        val allowance = customer.allowance ?: return Admission.Admitted
        if (urgency != null && !isRepeated) {
            val budget = shares.onRequest(customer.id, allowance, fleet.size, nowMillis)
            urgency.refusal(customer.id, priority, budget, nowMillis)?.let {
                reportSoon(customer)
                return it
            }
        }
        // With urgency the demand of this request has been counted above.
        val admission = if (isRepeated || urgency != null) {
            shares.admitAgain(customer.id, allowance, fleet.size, nowMillis)
        } else {
            shares.admit(customer.id, allowance, fleet.size, nowMillis)
        }
        if (admission is Admission.Refused && !isRepeated) reportSoon(customer)
        return admission
    }

    override fun sendFraction(customer: Customer, priority: Int): Double =
        urgency?.sendFraction(customer.id, priority, timers.nowMillis()) ?: 1.0

    override fun onRefusedElsewhere(customer: Customer, priority: Int, count: Int) {
        urgency?.onRefusedElsewhere(customer.id, priority, count, timers.nowMillis())
    }

    /** Tells the other members early, so that they leave their parts of the rate, unless they have none to leave. */
    private fun reportSoon(customer: Customer) {
        if (urgency == null || !shares.isSole(customer.id)) fleet.heartbeatSoon()
    }

    /** The demand of each customer at this host, as reported to all members now. */
    fun demand(nowMillis: Long): List<CustomerDemand> {
        shares.retainHosts(fleet.alivePeers(nowMillis).mapTo(HashSet()) { HostId(it.member.name) })
        return shares.report(fleet.size, nowMillis).map { (customer, use) ->
            CustomerDemand(customer.value, use.demandPerSecond.toFloat(), use.admittedCount)
        }
    }

    /**
     * Takes the demand that the newest heartbeat of [peer] reports. One that takes no new operations has none: its
     * customers are already served elsewhere.
     */
    fun onReport(peer: Peer, heartbeat: Heartbeat, nowMillis: Long) {
        shares.onReport(
            host = HostId(peer.member.name),
            incarnation = peer.member.incarnation,
            usages = heartbeat.demand.associate {
                val perSecond = if (heartbeat.isReady) it.perSecond.toDouble() else 0.0
                CustomerId(it.customer) to CustomerUsage(perSecond, it.admittedCount)
            },
            nowMillis = nowMillis,
        )
    }

    private companion object {
        /** When a caller may try again that was refused because this host's proof had expired. */
        const val NO_PROOF_RETRY_MILLIS = 250L
    }
}
