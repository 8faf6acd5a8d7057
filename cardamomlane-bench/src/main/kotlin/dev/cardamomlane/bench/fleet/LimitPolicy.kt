package dev.cardamomlane.bench.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.RefusalReason
import dev.cardamomlane.core.limits.ShareBasis
import dev.cardamomlane.core.limits.ShareLendingLimiter
import dev.cardamomlane.core.limits.ShareMessage
import dev.cardamomlane.core.limits.ShareTable
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList

/** One way to enforce a customer's rate and burst over all hosts. */
internal interface LimitPolicy {
    /** The number of messages that hosts have sent one another. */
    val messages: Long

    /** Decides one request at [host]. Calls [answer], now or later, with whether the request may run. */
    fun request(host: Int, answer: (Boolean) -> Unit)

    /**
     * Stops a host that holds a share of the limit, for good, and returns its index. Its share can be given to other
     * hosts only after its exclusion from the fleet.
     */
    fun killHolder(): Int
}

/** Every host has an equal share. Hosts lend one another nothing, and the share of a stopped host is lost. */
internal class FixedShares(private val queue: EventQueue, hosts: Int, limit: Allowance) : LimitPolicy {
    private val buckets = List(hosts) { TokenBucket(limit.scaled(1.0 / hosts)) }
    override val messages = 0L

    override fun request(host: Int, answer: (Boolean) -> Unit) = answer(buckets[host].take(queue.nowMillis))

    override fun killHolder(): Int = 0
}

/** One host, the owner, holds the whole limit. The other hosts ask it about each request. */
internal class OwnerGrants(private val queue: EventQueue, limit: Allowance) : LimitPolicy {
    private val bucket = TokenBucket(limit)
    private var isOwnerDead = false
    override var messages = 0L
        private set

    override fun request(host: Int, answer: (Boolean) -> Unit) {
        if (host == OWNER) return answer(bucket.take(queue.nowMillis))
        messages += 2
        queue.after(NETWORK_DELAY_MILLIS) {
            val isGranted = !isOwnerDead && bucket.take(queue.nowMillis)
            queue.after(NETWORK_DELAY_MILLIS) { answer(isGranted) }
        }
    }

    override fun killHolder(): Int {
        isOwnerDead = true
        queue.after(EXCLUSION_MILLIS) { isOwnerDead = false }
        return OWNER
    }

    companion object {
        const val OWNER = 0
        const val NETWORK_DELAY_MILLIS = 1L
        const val EXCLUSION_MILLIS = 10_000L
    }
}

/** Hosts lend one another share, as [ShareLendingLimiter] decides. A request waits up to [holdMillis] for a loan. */
internal class LentShares(
    private val queue: EventQueue,
    hosts: Int,
    private val limit: Allowance,
    private val holdMillis: Long,
) : LimitPolicy {
    private val members = List(hosts) { MemberId(HostId("host-$it"), incarnation = 1) }
    private val alive = members.toMutableSet()
    private val limiters = members.associateWith { from ->
        ShareLendingLimiter(from, { to, message -> send(from, to, message) })
    }
    override var messages = 0L
        private set

    init {
        install(members)
        tick()
    }

    override fun request(host: Int, answer: (Boolean) -> Unit) = attempt(members[host], queue.nowMillis, answer)

    override fun killHolder(): Int {
        val killed = basis(members).holders(CUSTOMER).first()
        alive -= killed
        queue.after(OwnerGrants.EXCLUSION_MILLIS) { install(alive.sorted()) }
        return members.indexOf(killed)
    }

    private fun attempt(member: MemberId, startedMillis: Long, answer: (Boolean) -> Unit) {
        val admission = limiters.getValue(member).admit(CUSTOMER, inStanding = true, queue.nowMillis)
        val isWaiting = admission is Admission.Refused && admission.reason == RefusalReason.BORROWING
        when {
            admission == Admission.Admitted -> answer(true)
            isWaiting && queue.nowMillis - startedMillis < holdMillis ->
                queue.after(HOLD_RETRY_MILLIS) { attempt(member, startedMillis, answer) }
            else -> answer(false)
        }
    }

    private fun send(from: MemberId, to: MemberId, message: ShareMessage) {
        messages++
        if (to !in alive) return
        queue.after(OwnerGrants.NETWORK_DELAY_MILLIS) {
            limiters.getValue(to).onMessage(from, message, inStanding = true, queue.nowMillis)
        }
    }

    private fun install(current: List<MemberId>) {
        val table = ShareTable(persistentListOf(basis(current)))
        current.forEach { limiters.getValue(it).install(table, queue.nowMillis) }
    }

    private fun basis(current: List<MemberId>) =
        ShareBasis(current.toImmutableList(), persistentMapOf(CUSTOMER to limit))

    private fun tick() {
        alive.forEach { limiters.getValue(it).tick(queue.nowMillis) }
        queue.after(TICK_MILLIS) { tick() }
    }

    private companion object {
        val CUSTOMER = CustomerId("customer")
        const val HOLD_RETRY_MILLIS = 4L
        const val TICK_MILLIS = 250L
    }
}
