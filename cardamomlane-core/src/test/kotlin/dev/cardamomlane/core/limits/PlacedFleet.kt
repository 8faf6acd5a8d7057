package dev.cardamomlane.core.limits

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import kotlin.random.Random

/**
 * Hosts in manual time whose one customer sends all requests to one of them, the first ready one of an order. Hosts stop,
 * are killed and come back; reports are lost, late and repeated.
 */
internal class PlacedFleet(seed: Int, private val hostCount: Int, private val allowance: Allowance) {
    private val random = Random(seed)
    private val customer = CustomerId("press")
    private val hosts = List(hostCount) { Host(it) }
    private val order = hosts.shuffled(random)
    private val messages = ArrayList<Message>()
    private val admittedAtMillis = ArrayList<Long>()
    private val waiting = ArrayList<Waiting>()
    private var bucketTokens = allowance.burst
    private var nowMillis = 0L

    /** Requests that were refused, and how many of them a single bucket for all hosts would have refused. */
    var refusedCount = 0
        private set
    var refusedByBucketCount = 0
        private set
    var requestCount = 0
        private set

    private class Message(
        val dueAtMillis: Long,
        val sentAtMillis: Long,
        val from: Host,
        val incarnation: Long,
        val to: Host,
    ) {
        lateinit var usages: Map<CustomerId, CustomerUsage>
    }

    private inner class Waiting(val atMillis: Long, val host: Host, val requestedAtMillis: Long)

    private inner class Host(val index: Int) {
        var limiter: DemandShareLimiter? = newLimiter()
        var incarnation = 0L
        var joinedAtMillis = 0L
        var goneAtMillis = Long.MAX_VALUE
        var backAtMillis = Long.MAX_VALUE
        var isStopping = false
        var reportedAtMillis = 0L
        var phaseMillis = random.nextLong(REPORT_MILLIS)
        val heardAtMillis = HashMap<Host, Long>()
        val sentAtMillis = HashMap<Pair<Host, Long>, Long>()

        val isMember get() = limiter != null && nowMillis >= joinedAtMillis

        fun newLimiter() = DemandShareLimiter(nowMillis, DemandShareLimiter.PLACED_BASE_FRACTION)

        fun step() {
            if (nowMillis >= goneAtMillis) {
                limiter = null
                goneAtMillis = Long.MAX_VALUE
            }
            if (nowMillis >= backAtMillis) start()
            if (isMember && (nowMillis + phaseMillis) % REPORT_MILLIS == 0L) report()
        }

        private fun start() {
            limiter = newLimiter()
            incarnation++
            joinedAtMillis = nowMillis + JOIN_MILLIS
            backAtMillis = Long.MAX_VALUE
            isStopping = false
            heardAtMillis.clear()
            sentAtMillis.clear()
        }

        fun report() {
            val own = limiter ?: return
            reportedAtMillis = nowMillis
            own.retainHosts(
                heardAtMillis.filterValues {
                    nowMillis - it < SILENT_MILLIS
                }.keys.mapTo(HashSet()) { it.id },
            )
            val usages = own.report(hostCount, nowMillis)
                .mapValues { if (isStopping) it.value.copy(demandPerSecond = 0.0) else it.value }
            for (other in hosts) {
                if (other === this || random.nextInt(100) < LOST_PERCENT) continue
                repeat(if (random.nextInt(100) < REPEATED_PERCENT) 2 else 1) {
                    val delayMillis = 1 + random.nextLong(if (random.nextInt(100) < LATE_PERCENT) 300 else 3)
                    messages += Message(nowMillis + delayMillis, nowMillis, this, incarnation, other)
                        .also { it.usages = usages }
                }
            }
        }

        /** As hosts do, takes no report that is no newer than the last one of the same incarnation. */
        fun receive(message: Message) {
            if (!isMember || (sentAtMillis[message.from to message.incarnation] ?: -1) >= message.sentAtMillis) return
            if (message.incarnation < message.from.incarnation) return
            sentAtMillis[message.from to message.incarnation] = message.sentAtMillis
            heardAtMillis[message.from] = nowMillis
            limiter?.onReport(message.from.id, message.incarnation, message.usages, nowMillis)
        }

        val id get() = HostId("h$index")
    }

    /** The host that the customer's requests go to: the others notice after a while that one was killed. */
    private fun serving(): Host? = order.firstOrNull { host ->
        val wasKilledLately = host.limiter == null && host.backAtMillis - nowMillis > DOWN_MILLIS - SILENT_MILLIS
        host.isMember && !host.isStopping || wasKilledLately
    }

    /** Stops the host that serves, with a report that says so. It is gone after a while and then starts anew. */
    fun stopServing() {
        val host = serving()?.takeIf { it.limiter != null } ?: return
        host.isStopping = true
        host.report()
        host.goneAtMillis = nowMillis + STOP_MILLIS
        host.backAtMillis = nowMillis + STOP_MILLIS + RESTART_MILLIS
    }

    /** Kills the host that serves. */
    fun killServing() {
        val host = serving()?.takeIf { it.limiter != null } ?: return
        host.limiter = null
        host.backAtMillis = nowMillis + DOWN_MILLIS
    }

    /** Lets [millis] pass while the customer sends [perSecond] requests a second. */
    fun run(millis: Long, perSecond: Double) {
        repeat(millis.toInt()) {
            nowMillis++
            hosts.forEach { it.step() }
            val due = messages.filter { it.dueAtMillis <= nowMillis }
            messages.removeAll(due)
            due.forEach { it.to.receive(it) }
            retryWaiting()
            bucketTokens = minOf(allowance.burst, bucketTokens + allowance.ratePerSecond / 1_000)
            if (random.nextDouble() * 1_000 < perSecond) request()
        }
    }

    private fun request() {
        val host = serving() ?: return
        val limiter = host.limiter ?: return
        requestCount++
        if (bucketTokens >= 1) bucketTokens-- else refusedByBucketCount++
        onAdmission(host, nowMillis, limiter.admit(customer, allowance, hostCount, nowMillis))
    }

    /** A refused request makes its host report early, and waits if its retry is due soon enough. */
    private fun onAdmission(host: Host, requestedAtMillis: Long, admission: Admission) {
        if (admission !is Admission.Refused) {
            admittedAtMillis += nowMillis
            return
        }
        if (nowMillis - host.reportedAtMillis >= MIN_REPORT_INTERVAL_MILLIS) host.report()
        val retryAtMillis = nowMillis + admission.retryAfterMillis
        if (retryAtMillis - requestedAtMillis > MAX_WAIT_MILLIS) {
            refusedCount++
        } else {
            waiting += Waiting(retryAtMillis, host, requestedAtMillis)
        }
    }

    private fun retryWaiting() {
        val due = waiting.filter { it.atMillis <= nowMillis }
        waiting.removeAll(due)
        for (request in due) {
            val limiter = request.host.limiter ?: continue
            val admission = limiter.admitAgain(customer, allowance, hostCount, nowMillis)
            onAdmission(request.host, request.requestedAtMillis, admission)
        }
    }

    /** The most requests admitted in any window of five seconds. */
    fun maxInWindow(): Int {
        var first = 0
        return admittedAtMillis.indices.maxOfOrNull { last ->
            while (admittedAtMillis[last] - admittedAtMillis[first] >= WINDOW_MILLIS) first++
            last - first + 1
        } ?: 0
    }

    private companion object {
        const val REPORT_MILLIS = 250L
        const val WINDOW_MILLIS = 5_000L
        const val MIN_REPORT_INTERVAL_MILLIS = 60L

        /** A quarter of the shortest latency goal that operators state. */
        const val MAX_WAIT_MILLIS = 50L
        const val LOST_PERCENT = 3
        const val LATE_PERCENT = 2
        const val REPEATED_PERCENT = 3

        /** How long a host takes from its start to its first report. */
        const val JOIN_MILLIS = 600L
        const val SILENT_MILLIS = 900L
        const val STOP_MILLIS = 1_000L
        const val RESTART_MILLIS = 300L
        const val DOWN_MILLIS = 1_500L
    }
}
