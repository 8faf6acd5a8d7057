package dev.cardamomlane.core.fleet

/**
 * Decides when this host reads the platform.
 *
 * The first few members that are heard read it regularly and the others hear from them. A host without fresh word of
 * the platform reads by itself, later the further down it stands in the order, so that not all turn to it at once.
 */
internal class Polling(private val self: MemberId, private val timings: FleetTimings) {
    private var startedMillis: Long? = null
    private var isFailing = false

    fun isDue(record: MemberRecord, isFresh: (MemberId) -> Boolean, platformMillis: Long, nowMillis: Long): Boolean {
        val isRegular = isRegular(record, isFresh)
        val sinceMillis = startedMillis?.let { nowMillis - it } ?: return true
        if (isRegular) return sinceMillis >= timings.pollMillis
        val patienceMillis = PATIENCE_MILLIS + rank(record, isFresh) * PATIENCE_STEP_MILLIS
        val hasWord = platformMillis != Long.MIN_VALUE && nowMillis - platformMillis < patienceMillis
        val periodMillis = if (isFailing) timings.pollMillis * FAILING_FACTOR else timings.pollMillis
        return !hasWord && sinceMillis >= periodMillis
    }

    /** True on a host that reads whether or not others do. */
    fun isRegular(record: MemberRecord, isFresh: (MemberId) -> Boolean): Boolean =
        self !in record || rank(record, isFresh) < REGULAR_POLLERS

    fun started(nowMillis: Long) {
        startedMillis = nowMillis
    }

    fun failed(nowMillis: Long) {
        isFailing = true
        startedMillis = maxOf(startedMillis ?: nowMillis, nowMillis - timings.pollMillis)
    }

    fun succeeded() {
        isFailing = false
    }

    private fun rank(record: MemberRecord, isFresh: (MemberId) -> Boolean): Int =
        record.members.count { it.id < self && isFresh(it.id) }

    private companion object {
        const val REGULAR_POLLERS = 3
        const val PATIENCE_MILLIS = 1_000L
        const val PATIENCE_STEP_MILLIS = 20L
        const val FAILING_FACTOR = 5
    }
}
