package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.standin.lane.line.Line

/**
 * Sends the answers of one connection, some of them a second time as [faults] says. Not safe for use by several threads.
 *
 * @param stateLine returns the line that ends an answer at that moment
 */
internal class TargetAnswers(
    private val output: SessionOutput,
    private val faults: AnswerFaults,
    private val timers: TimerService,
    private val stateLine: () -> String,
) {
    private var isClosed = false

    /** Sends [lines] and the line that ends them. */
    fun send(kind: AnswerKind, lines: String) {
        if (isClosed) return
        val end = stateLine()
        output.write(lines + end)
        val delayMillis = faults.nextRepeatMillis(kind) ?: return
        timers.after(delayMillis) { repeat(kind, lines, end) }
    }

    private fun repeat(kind: AnswerKind, lines: String, end: String) {
        if (isClosed) return
        faults.onRepeated(kind)
        output.write(lines + if (faults.isStateRebuilt) stateLine() else end)
    }

    /** Sends an error with nothing behind it and closes the connection. */
    fun refuse(code: String, text: String) {
        if (isClosed) return
        output.write(Line.of("ERR", code, text))
        close()
    }

    /** Closes the connection. Nothing is sent after that. */
    fun close() {
        if (isClosed) return
        isClosed = true
        output.close()
    }
}
