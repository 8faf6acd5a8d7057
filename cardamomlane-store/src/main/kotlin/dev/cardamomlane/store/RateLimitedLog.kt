package dev.cardamomlane.store

import org.tinylog.kotlin.Logger

/**
 * Logs what keeps coming back, such as a row that is read with every scan and can't be used: at most one line for each
 * source in [PERIOD_MILLIS], which counts the lines left out. Safe for use by several threads.
 *
 * @param nowMillis the monotonic time
 * @param write writes one line, with the stack trace of the error if there is one
 */
public class RateLimitedLog(
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    private val write: (line: String, error: Throwable?) -> Unit = ::log,
) {
    private val sources = HashMap<String, Source>()

    /** Logs that [source] was not used because of [reason]. Both may hold text that another process wrote. */
    public fun warn(source: String, reason: String) {
        val omitted = omittedIfDue(source) ?: return
        write("${printable(source)}: ${printable(reason)}$omitted", null)
    }

    /** Logs that [source] failed with [cause]. */
    public fun error(source: String, cause: Throwable) {
        val omitted = omittedIfDue(source) ?: return
        write("${printable(source)} failed$omitted", cause)
    }

    /** Returns the text about omitted lines, or null if the next line of [source] is not due yet. */
    private fun omittedIfDue(source: String): String? = synchronized(sources) {
        val now = nowMillis()
        if (sources.size >= MAX_SOURCES) sources.values.removeIf { now - it.loggedAtMillis >= PERIOD_MILLIS }
        val key = if (sources.size < MAX_SOURCES || source in sources) source else OTHERS
        val entry = sources[key]
        if (entry != null && now - entry.loggedAtMillis < PERIOD_MILLIS) {
            entry.omitted++
            return null
        }
        sources[key] = Source(now)
        val omitted = entry?.omitted ?: 0
        if (omitted == 0) "" else " ($omitted more since the last line)"
    }

    private fun printable(text: String): String =
        text.take(MAX_TEXT_LENGTH).map { if (it.isISOControl()) ' ' else it }.joinToString("")

    private class Source(val loggedAtMillis: Long, var omitted: Int = 0)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000
        const val PERIOD_MILLIS = 10_000L

        /** Sources above this number share their lines, because another process may choose the names. */
        const val MAX_SOURCES = 256
        const val OTHERS = ""

        /** In characters. */
        const val MAX_TEXT_LENGTH = 300

        fun log(line: String, error: Throwable?) {
            if (error == null) Logger.warn { line } else Logger.error(error) { line }
        }
    }
}
