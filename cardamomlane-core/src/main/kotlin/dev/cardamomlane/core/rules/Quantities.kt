package dev.cardamomlane.core.rules

/**
 * Parses the numbers of a rule file, with or without a unit. Each function returns null if the text has another form.
 *
 * [AGE_FORM] and [RATE_FORM] describe the accepted forms in findings.
 */
internal object Quantities {
    const val AGE_FORM = "a number and ms, s or min, as in 500ms"
    const val RATE_FORM = "a number above 0 and /s or /min, as in 200/s"
    private const val MILLIS_PER_SECOND = 1000L
    private const val MILLIS_PER_MINUTE = 60_000L
    private const val SECONDS_PER_MINUTE = 60
    private val age = Regex("""(\d{1,9})(ms|s|min)""")
    private val rate = Regex("""(\d{1,9}(?:\.\d{1,6})?)/(s|min)""")
    private val count = Regex("""\d{1,9}""")

    fun ageMillis(text: String): Long? {
        val (number, unit) = age.matchEntire(text)?.destructured ?: return null
        return number.toLong() *
            when (unit) {
                "ms" -> 1L
                "s" -> MILLIS_PER_SECOND
                else -> MILLIS_PER_MINUTE
            }
    }

    fun ratePerSecond(text: String): Double? {
        val (number, unit) = rate.matchEntire(text)?.destructured ?: return null
        val value = if (unit == "s") number.toDouble() else number.toDouble() / SECONDS_PER_MINUTE
        return value.takeIf { it > 0 }
    }

    fun count(text: String): Int? = text.takeIf { count.matches(it) }?.toInt()
}
