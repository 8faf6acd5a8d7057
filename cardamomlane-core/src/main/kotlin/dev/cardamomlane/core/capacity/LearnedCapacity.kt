package dev.cardamomlane.core.capacity

import kotlin.math.abs
import kotlin.math.ceil
import kotlin.math.roundToInt

/**
 * A [TargetCapacity] that is learned from the answers that all members see.
 *
 * Time is divided into windows. At the end of each one, this member's measurements and those that the other members
 * last reported give the load of the target, from which [LimitSearch] moves the limit. Times are compared with those of
 * the same kind of work at the unloaded target, so that a shift of the mix does not look like load.
 *
 * @param slots how many statements the target accepts at once; the upper bound of the limit
 * @param zone this member's availability zone
 * @param othersFailureRate the rate of failures at the other targets of the group
 */
public class LearnedCapacity(
    slots: Int,
    private val zone: String,
    private val listener: CapacityListener = CapacityListener.None,
    private val othersFailureRate: () -> Double = { 0.0 },
) : TargetCapacity {
    private val search = LimitSearch(slots)
    private val window = AnswerWindow()
    private val evidence = LoadEvidence()
    private val peers = PeerSamples()
    private val targetHealth = TargetHealth()
    private val timesByKind = LinkedHashMap<WorkKind, UnloadedTime>()
    private var loggedLimit = slots.toDouble()
    private var firstCallAtMillis = Long.MIN_VALUE
    private var nowMillis = 0L

    init {
        require(slots >= 1) { "slots must be at least 1 but was $slots" }
    }

    /** What this member measured in its last window, or null before the first one. */
    public var sample: CapacitySample? = null
        private set

    /** [limit] before rounding. */
    public val exactLimit: Double get() = search.limit

    override val limit: Int get() = maxOf(1, search.limit.roundToInt())

    override var serviceMillis: Double = INITIAL_SERVICE_MILLIS
        private set

    override val health: Double get() = targetHealth.health(othersFailureRate(), nowMillis)

    override val hasRoom: Boolean get() = window.runningCount < share

    override val isInUse: Boolean get() = window.runningCount < targetHealth.maxRunning(nowMillis)

    override val isOnTrial: Boolean get() = isInUse && !targetHealth.isHealthy

    override val totalRunningCount: Double get() = window.runningCount + peers.running

    /** The recent failures of the target at this member; older ones count less. */
    public val failedCount: Double get() = targetHealth.failures.failedCount

    /** The recent answers of the target at this member, failures included; older ones count less. */
    public val answeredCount: Double get() = targetHealth.failures.totalCount

    /**
     * The part of the limit that this member may use: what others leave, or at least its equal part. The equal part is
     * rounded up: three members that round down use only three of four slots.
     */
    private val share: Int
        get() {
            val total = ceil(search.probedLimit - LIMIT_TOLERANCE).toInt()
            val memberCount = peers.activeCount + 1
            return maxOf(
                (total + memberCount - 1) / memberCount,
                total - ceil(peers.running - RUNNING_TOLERANCE).toInt(),
            )
        }

    override fun expectedMillis(kind: WorkKind, nowMillis: Long): Double? =
        timesByKind[kind]?.takeIf { !it.millis.isNaN() }?.expectedMillis(zoneRatio(), nowMillis)

    /** The load ratio that the other members of this zone report. */
    private fun zoneRatio(): Double {
        val samples = peers.byZone[zone] ?: return 1.0
        val workMillisPerSecond = samples.sumOf { it.workMillisPerSecond }
        return if (workMillisPerSecond > 0) samples.sumOf { it.tookMillisPerSecond } / workMillisPerSecond else 1.0
    }

    override fun started(kind: WorkKind, nowMillis: Long) {
        tick(nowMillis)
        window.changeRunning(+1, nowMillis)
    }

    override fun answered(kind: WorkKind, tookMillis: Double, isSuccess: Boolean, nowMillis: Long) {
        require(tookMillis >= 0) { "tookMillis must not be negative but was $tookMillis" }
        window.changeRunning(-1, nowMillis)
        recordOutcome(!isSuccess, nowMillis)
        if (isSuccess) {
            window.addAnswer(tookMillis)
            times(kind).add(tookMillis)
        }
        tick(nowMillis)
    }

    override fun refused(kind: WorkKind, nowMillis: Long): Unit = lost(kind, nowMillis)

    override fun lost(kind: WorkKind, nowMillis: Long) {
        window.changeRunning(-1, nowMillis)
        failed(nowMillis)
    }

    override fun released(kind: WorkKind, nowMillis: Long) {
        window.changeRunning(-1, nowMillis)
        tick(nowMillis)
    }

    /** The target failed in a way that ends no statement: a connection was refused, or an answer is overdue. */
    public fun failed(nowMillis: Long) {
        recordOutcome(isFailure = true, nowMillis)
        tick(nowMillis)
    }

    private fun recordOutcome(isFailure: Boolean, nowMillis: Long) {
        this.nowMillis = nowMillis
        val wasHealthy = targetHealth.isHealthy
        val rateBefore = targetHealth.failures.rate
        if (isFailure) window.addFailure()
        targetHealth.add(isFailure, othersFailureRate(), peers.byZone[zone].orEmpty(), nowMillis)
        if (targetHealth.isHealthy != wasHealthy) listener.onUse(targetHealth.isHealthy, rateBefore)
    }

    /** Keeps at most [MAX_KINDS] kinds, since routes may be renamed while the member runs. */
    private fun times(kind: WorkKind): UnloadedTime = timesByKind.getOrPut(kind) {
        if (timesByKind.size >= MAX_KINDS) timesByKind.remove(timesByKind.keys.first())
        UnloadedTime()
    }

    /** Takes in what [member] of [zone] reports of this target. */
    public fun onPeer(member: String, zone: String, sample: CapacitySample, nowMillis: Long) {
        peers.put(member, zone, sample, nowMillis)
        if (firstCallAtMillis == Long.MIN_VALUE) firstCallAtMillis = nowMillis
        if (nowMillis - firstCallAtMillis < ADOPTING_MILLIS) adopt(peers.all.map { it.limit }.average())
    }

    private fun adopt(found: Double) {
        if (found > search.limit) search.adopt(found)
    }

    /** Ends the window when it is long enough. To be called at short intervals. */
    public fun tick(nowMillis: Long) {
        this.nowMillis = nowMillis
        if (firstCallAtMillis == Long.MIN_VALUE) firstCallAtMillis = nowMillis
        peers.expire(nowMillis)
        targetHealth.failures.decay(nowMillis)
        val durationMillis = window.durationMillis(nowMillis)
        if (durationMillis >= WINDOW_MILLIS) endWindow(durationMillis, nowMillis)
    }

    private fun endWindow(durationMillis: Long, nowMillis: Long) {
        val maxRunning = window.maxRunningCount + peers.running
        val isUnloaded = maxRunning <= maxOf(UNLOADED_RUNNING, search.limit * UNLOADED_FRACTION)
        val ratio = evidence.loadRatio.coerceAtLeast(zoneRatio())
        if (!window.meanMillis.isNaN()) serviceMillis += (window.meanMillis - serviceMillis) * SERVICE_SMOOTHING
        val isUsedInFull = window.maxRunningCount >= share
        val workMillis = timesByKind.values.sumOf { it.endWindow(isUnloaded, ratio, nowMillis) }
        val own = window.end(workMillis, search.limit, nowMillis)
        sample = own
        val samples = peers.byZone.toMutableMap()
        samples[zone] = samples[zone].orEmpty() + own
        evidence.add(samples, durationMillis.toDouble())
        if (evidence.answeredCount >= MIN_ANSWERS) evaluate(own, isUsedInFull, nowMillis)
        if (evidence.durationMillis >= MAX_EVIDENCE_MILLIS) evidence.clear()
    }

    private fun evaluate(own: CapacitySample, isUsedInFull: Boolean, nowMillis: Long) {
        val isBusiest = own.running > 0 && peers.all.none { it.running > own.running + BUSIEST_MARGIN }
        search.onWindow(evidence.running, evidence.loadRatio, isUsedInFull && isBusiest, nowMillis)
        if (peers.activeCount > 0) search.approach(peers.all.map { it.limit }.average())
        evidence.clear()
        if (abs(search.limit - loggedLimit) <= maxOf(1.0, loggedLimit) * LOGGED_CHANGE) return
        listener.onLimit(loggedLimit, search.limit)
        loggedLimit = search.limit
    }

    private companion object {
        /** The assumed mean service time of a target that has not answered yet. */
        const val INITIAL_SERVICE_MILLIS = 25.0

        /** The weight of the newest window in the mean service time. */
        const val SERVICE_SMOOTHING = 0.5

        /** Two windows with queueing and one heartbeat fit into the second in which a slow-down has to be detected. */
        const val WINDOW_MILLIS = 200L

        /** For how long a member that has just started adopts a higher limit that its peers have found. */
        const val ADOPTING_MILLIS = 1_000L

        /** Fewer answers say little about the load, so windows are added up until there are as many. */
        const val MIN_ANSWERS = 5.0

        /** Windows are added up for at most this time. */
        const val MAX_EVIDENCE_MILLIS = 2_000.0

        /** A target that runs no more than one statement, or this part of its limit, does not queue. */
        const val UNLOADED_RUNNING = 1.0
        const val UNLOADED_FRACTION = 0.5

        /** The limit is logged when it has changed by more than this part since the last log line. */
        const val LOGGED_CHANGE = 0.2

        /** The number of kinds whose times are kept. */
        const val MAX_KINDS = 64

        /** The peers' mean running count is rounded down when it exceeds a whole number by no more than this. */
        const val RUNNING_TOLERANCE = 0.25

        /**
         * The limit is rounded up when it exceeds a whole number by more than this noise, since idle slots cost more
         * than short waits.
         */
        const val LIMIT_TOLERANCE = 0.15

        /** Only the busiest member probes the limit; one that runs at most this much less counts as busiest too. */
        const val BUSIEST_MARGIN = 0.3
    }
}
