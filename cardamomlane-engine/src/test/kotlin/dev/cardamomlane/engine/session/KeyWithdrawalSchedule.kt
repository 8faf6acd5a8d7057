package dev.cardamomlane.engine.session
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.statement.TargetStatement

/**
 * A schedule in which the key of half of the callers is withdrawn, or given to another customer, at any moment. The hosts
 * learn of it one after another. The same configuration drops or changes a route. In a third of the schedules routes are
 * public, so that callers go on without the customer.
 */
class KeyWithdrawalSchedule(seed: Long) : SessionSchedule(seed) {
    private val withdrawn = CUSTOMERS.keys.random(random)
    private val customer = CUSTOMERS.getValue(withdrawn)
    private val customersAfter = CUSTOMERS - withdrawn +
        if (random.nextInt(3) == 0) mapOf(withdrawn to "heir") else emptyMap()
    private val routesAfter = if (random.nextBoolean()) setOf("latest") else setOf("latest", "bounded", "session")
    private val isPublic = seed % 3 == 0L
    private var withdrawnAtMillis = 0L

    /** Connections on which the customer still had a transaction open after the bound, whose commit was not sent before. */
    private var openTooLate = emptyList<String>()

    override fun adjusted(route: Route): Route = route.copy(isPublic = isPublic)

    override fun play() {
        timers.advance(random.nextLong(500, 2_500))
        val newer = fixture.configuration(3, databases = routesAfter, customers = customersAfter, change = ::adjusted)
        val delays = fixture.hosts.map { random.nextLong(MAX_NOTICE_MILLIS) }
        withdrawnAtMillis = timers.nowMillis() + delays.max()
        fixture.hosts.forEachIndexed { index, host -> at(delays[index]) { host.configure(newer) } }
        timers.advance(delays.max() + BOUND_MILLIS)
        openTooLate =
            fixture.targets.links.filter {
                it.customerName == customer && it.isInTransaction &&
                    it.sent.last() !is TargetStatement.Commit
            }
                .map { "a transaction of $customer is open on ${it.host} after the bound, last ${it.sent.last()}" }
        timers.advance(SETTLE_MILLIS)
    }

    override fun findings(): List<String> = openTooLate + begunTooLate() + unanswered() + refusedOthers()

    /** Statements and commits under the withdrawn key that were begun after every host knew of it. */
    private fun begunTooLate(): List<String> = begun
        .filter { it.link.customerName == customer && it.atMillis > withdrawnAtMillis }
        .map { "$it was begun after the withdrawal at $withdrawnAtMillis" }

    private fun unanswered(): List<String> = callers
        .filter {
            it.outstanding.isNotEmpty() &&
                it.waitsSinceMillis < timers.nowMillis() - timeoutMillis - ANSWER_MARGIN_MILLIS
        }
        .map { "${it.outstanding.first().id} is without an answer since ${it.waitsSinceMillis}" }

    /** Statements of the other customer that failed for the key. */
    private fun refusedOthers(): List<String> = callers.filter { it.key != withdrawn }.flatMap { it.statements }
        .filter { statement -> statement.answer?.error?.let { "the key" in it.text } ?: false }
        .map { "${it.id} (${it.text}) of another customer was answered ${it.answer?.error}" }

    private companion object {
        const val MAX_NOTICE_MILLIS = 800L

        /** How long after the last host knows of the withdrawal a statement may still run that was begun before. */
        const val BOUND_MILLIS = 1_050L
        const val ANSWER_MARGIN_MILLIS = 200L
        const val SETTLE_MILLIS = 4_000L
    }
}
