package dev.cardamomlane.engine.session

/**
 * A schedule in which targets lose answers, and paths between hosts and replicas carry nothing, for spells at any moment,
 * while their connections stay open. Then all is well again, callers go on for a while, and leave in the end.
 */
class SilenceSchedule(seed: Long) : SessionSchedule(seed) {
    private var firstSpellMillis = 0L
    private var healedAtMillis = 0L

    override fun play() {
        timers.advance(UNDISTURBED_MILLIS)
        firstSpellMillis = timers.nowMillis()
        repeat(1 + random.nextInt(MAX_SPELLS)) { at(random.nextLong(DISTURBED_MILLIS), ::loseAnswers) }
        repeat(random.nextInt(MAX_SPELLS)) { at(random.nextLong(DISTURBED_MILLIS), ::silencePath) }
        timers.advance(DISTURBED_MILLIS + MAX_SPELL_MILLIS)
        TARGETS.forEach { fixture.targets.target(it).lostAnswers = 0 }
        healedAtMillis = timers.nowMillis()
        timers.advance(GO_ON_MILLIS)
        callers.forEach { it.leave() }
        timers.advance(timeoutMillis + IDLE_MILLIS + MARGIN_MILLIS)
    }

    private fun loseAnswers() {
        fixture.targets.target(TARGETS.random(random)).lostAnswers += 1 + random.nextInt(MAX_LOST)
    }

    private fun silencePath() {
        val path = "host-${random.nextInt(HOSTS)}/${REPLICAS.random(random)}"
        fixture.targets.partitionedPaths += path
        at(random.nextLong(MAX_SPELL_MILLIS)) { fixture.targets.partitionedPaths -= path }
    }

    override fun findings(): List<String> = fixture.held() + unserved()

    /** Whether less than a quarter of the late statements succeed, though a quarter or more did before the first spell. */
    private fun unserved(): List<String> {
        val answered = callers.flatMap { it.statements }.filter { it.answer != null }
        val before = answered.filter { it.answeredAtMillis!! < firstSpellMillis }
        val late = answered.filter { it.sentAtMillis > healedAtMillis + RECOVERY_MILLIS }
        if (!isServed(before) || isServed(late)) return emptyList()
        return listOf("${late.count { it.answer?.error == null }} of ${late.size} late statements succeeded")
    }

    private fun isServed(statements: List<SentStatement>): Boolean =
        statements.count { it.answer?.error == null } * SERVED_SHARE >= maxOf(statements.size, 1)

    private companion object {
        val TARGETS = listOf("p", "r1", "r2")

        /** Silence of the primary would replace it, and no replica here has its log. */
        val REPLICAS = listOf("r1", "r2")
        const val UNDISTURBED_MILLIS = 1_500L
        const val MAX_SPELLS = 8
        const val MAX_SPELL_MILLIS = 2_500L
        const val MAX_LOST = 12
        const val GO_ON_MILLIS = 8_000L
        const val RECOVERY_MILLIS = 5_000L
        const val SERVED_SHARE = 4

        /** The longest pause in a transaction. */
        const val IDLE_MILLIS = 3_000L
        const val MARGIN_MILLIS = 500L
    }
}
