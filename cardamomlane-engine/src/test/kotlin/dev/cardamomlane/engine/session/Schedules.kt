package dev.cardamomlane.engine.session

/**
 * How many seeded schedules are played: a few fixed ones, or as many with fresh seeds as the system property
 * `cardamomlane.schedules` says. `cardamomlane.seed` plays one schedule.
 */
object Schedules {
    const val SHOWN_FINDINGS = 10
    private const val USUAL_COUNT = 150
    private val asked = System.getProperty("cardamomlane.schedules")?.toInt()
    private val onlySeed = System.getProperty("cardamomlane.seed")?.toLong()
    val count: Int = if (onlySeed != null) 1 else asked ?: USUAL_COUNT

    /** Plays the schedules that [create] makes of their seeds. */
    fun play(create: (seed: Long) -> SessionSchedule): Played {
        var begunCount = 0
        val findings = seeds().flatMap { seed ->
            val schedule = create(seed)
            schedule.run().map { "seed $seed: $it" }.also { begunCount += schedule.begunCount }
        }
        return Played(findings, begunCount)
    }

    private fun seeds(): List<Long> {
        val first = onlySeed ?: if (asked == null) 1L else System.currentTimeMillis() * SEEDS_PER_MILLISECOND
        return (first until first + count).toList().also { println("$count schedules from seed $first") }
    }

    private const val SEEDS_PER_MILLISECOND = 1_000L

    /**
     * What came of the schedules that were played.
     *
     * @property begunCount how many callers' statements were begun at targets, in all of them
     */
    class Played(val findings: List<String>, val begunCount: Int)
}
