package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.line.Printable
import java.io.Writer
import java.util.Locale
import java.util.concurrent.TimeUnit

/**
 * What was sent, run and answered in a run, one line each, with the seconds since the start. Each line is
 * flushed to [out], which the record does not close.
 *
 * Safe for use by several threads.
 */
internal class RunRecord(private val out: Writer) {
    private val startNanos = System.nanoTime()

    /** Milliseconds since the start of the run. */
    val nowMillis: Long get() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)

    @Synchronized
    fun line(text: String) {
        out.write("%8.3f %s\n".format(Locale.ROOT, nowMillis / MILLIS_PER_SECOND, Printable.of(text)))
        out.flush()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
