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

    fun seeds(): List<Long> {
        val first = onlySeed ?: if (asked == null) 1L else System.currentTimeMillis() * SEEDS_PER_MILLISECOND
        return (first until first + count).toList().also { println("$count schedules from seed $first") }
    }

    private const val SEEDS_PER_MILLISECOND = 1_000L
}
