package dev.cardamomlane.engine.session

import dev.cardamomlane.core.stop.StopTimes
import dev.cardamomlane.engine.statement.ErrorCode

/** A schedule in which one of the hosts is stopped at any moment, and ends its process when it says so. */
class StopSchedule(seed: Long) : SessionSchedule(seed) {
    private val stopped = random.nextInt(HOSTS)
    private val times = StopTimes(graceMillis = random.nextLong(2_500, 6_000))
    private var stoppedAtMillis = 0L
    private var endedAtMillis: Long? = null

    private var unanswered = emptyList<String>()

    override fun play() {
        timers.advance(random.nextLong(500, 2_500))
        stoppedAtMillis = timers.nowMillis()
        fixture.hosts[stopped].stop(times, stopAccepting = {}, done = ::onStopped)
        timers.advance(times.graceMillis + SETTLE_MILLIS)
    }

    private fun onStopped() {
        if (endedAtMillis != null) return
        endedAtMillis = timers.nowMillis()
        val own = callers.filter { it.host == stopped }
        unanswered = own.flatMap { it.outstanding }
            .map { "${it.id} (${it.text}), sent ${it.sentAtMillis - stoppedAtMillis} ms after the stop, has no answer" }
        own.forEach { it.onHostEnded() }
        fixture.end(stopped)
    }

    override fun findings(): List<String> {
        val ended = endedAtMillis ?: return listOf("the host did not end")
        val late = if (ended >
            stoppedAtMillis + times.endMillis
        ) {
            listOf("the host ended late, at $ended")
        } else {
            emptyList()
        }
        return late + unanswered + begunTooLate() + cutTooSoon() + abortedTooSoon()
    }

    private fun begunTooLate(): List<String> = begun
        .filter { it.link.host == "host-$stopped" && it.atMillis > stoppedAtMillis + times.endingMillis }
        .map { "$it was begun ${it.atMillis - stoppedAtMillis} ms after the stop of host-$stopped" }

    /** Statements of transactions that were aborted for the stop in the first half of the grace time. */
    private fun abortedTooSoon(): List<String> = callers.flatMap { it.statements }
        .filter {
            it.answer?.error?.text == STOPPING && it.answeredAtMillis!! < stoppedAtMillis + times.graceMillis / 2
        }
        .map { "${it.id} (${it.text}) was aborted ${it.answeredAtMillis!! - stoppedAtMillis} ms after the stop" }

    /** Statements that the stopping host had begun and whose answer would have come in time, but were not answered so. */
    private fun cutTooSoon(): List<String> = begun
        .filter { it.link.host == "host-$stopped" && it.endMillis > stoppedAtMillis }
        .filter { it.endMillis < stoppedAtMillis + times.endMillis - LAST_ANSWERS_MILLIS }
        .flatMap { statement ->
            val sent = callers.firstNotNullOf { caller -> caller.statements.find { it.id == statement.id } }
            if (isExcused(statement, sent)) return@flatMap emptyList()
            val code = sent.answer?.error?.code
            listOfNotNull(
                "$statement was cut at ${statement.cutAtMillis}".takeIf { statement.cutAtMillis != null },
                "$statement has no answer".takeIf { sent.answer == null },
                "$statement was answered $code".takeIf { code != null && code != ErrorCode.ABORTED },
            ).map {
                "$it, stop of host-$stopped at $stoppedAtMillis, grace ${times.graceMillis}, sent at ${sent.sentAtMillis}, ${sent.answer?.error}"
            }
        }

    /** True when the caller left, the target did not run it, the answer or a connection between hosts was lost, or the route's timeout was reached. */
    private fun isExcused(statement: BegunStatement, sent: SentStatement): Boolean =
        sent.isLeft || statement.statement in statement.link.unserved ||
            linkCutsMillis.any { it in sent.sentAtMillis - LINK_MILLIS..statement.endMillis + LINK_MILLIS } ||
            statement.endMillis + LINK_MILLIS >= sent.sentAtMillis + timeoutMillis

    private companion object {
        /** A margin for the ways between caller, hosts and target. */
        const val LINK_MILLIS = 10L
        const val SETTLE_MILLIS = 1_500L
        const val STOPPING = "the host is stopping"

        /** How long before its end the host may answer what is still under way. */
        const val LAST_ANSWERS_MILLIS = 150L
    }
}
