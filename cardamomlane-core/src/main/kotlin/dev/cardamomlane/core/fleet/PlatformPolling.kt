package dev.cardamomlane.core.fleet

/**
 * Decides when this host reads the platform.
 *
 * The first [REGULAR_POLLERS] members in the order of ids, leaving out those without recent evidence, read the platform
 * regularly, and so does a host that is not a member. The other members learn from their answers. One of these that
 * has no recent evidence from the platform reads it by itself, after a delay that grows with its rank in that order, so
 * that not all hosts read at once.
 */
internal class PlatformPolling(private val self: MemberId, private val timings: FleetTimings) {
    private var startedAtMillis: Long? = null
    private var isFailing = false

    /** True if this host should read the platform now. [readAtMillis] is the time of its latest evidence from there. */
    fun isDue(record: MemberRecord, isFresh: (MemberId) -> Boolean, readAtMillis: Long, nowMillis: Long): Boolean {
        val isRegular = isRegular(record, isFresh)
        val sinceMillis = startedAtMillis?.let { nowMillis - it } ?: return true
        if (isRegular) return sinceMillis >= timings.pollMillis
        val fallbackAfterMillis = FALLBACK_AFTER_MILLIS + rank(record, isFresh) * FALLBACK_STEP_MILLIS
        val hasRecentRead = readAtMillis != Long.MIN_VALUE && nowMillis - readAtMillis < fallbackAfterMillis
        val periodMillis = if (isFailing) timings.pollMillis * FAILING_PERIOD_FACTOR else timings.pollMillis
        return !hasRecentRead && sinceMillis >= periodMillis
    }

    /** True if this host reads the platform whether or not others do. */
    fun isRegular(record: MemberRecord, isFresh: (MemberId) -> Boolean): Boolean =
        self !in record || rank(record, isFresh) < REGULAR_POLLERS

    fun started(nowMillis: Long) {
        startedAtMillis = nowMillis
    }

    /** Records a failed read. Until one succeeds, hosts that are not regular pollers read less often. */
    fun failed(nowMillis: Long) {
        isFailing = true
        startedAtMillis = maxOf(startedAtMillis ?: nowMillis, nowMillis - timings.pollMillis)
    }

    fun succeeded() {
        isFailing = false
    }

    private fun rank(record: MemberRecord, isFresh: (MemberId) -> Boolean): Int =
        record.members.count { it.id < self && isFresh(it.id) }

    private companion object {
        const val REGULAR_POLLERS = 3

        /**
         * A member that is no regular poller reads when its evidence from the platform is as old as this plus
         * [FALLBACK_STEP_MILLIS] for each step of its rank.
         */
        const val FALLBACK_AFTER_MILLIS = 1_000L
        const val FALLBACK_STEP_MILLIS = 20L

        /** Multiplies the least time between two such reads while reads fail. */
        const val FAILING_PERIOD_FACTOR = 5
    }
}
