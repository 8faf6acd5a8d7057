package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.ManualTimerService

/** A session whose answers a test reads as text. */
internal class SessionFixture(target: LaneTarget, private val timers: ManualTimerService) : SessionOutput {
    private val session = TargetSession(target, this)
    private val received = StringBuilder()
    var isClosed = false
        private set

    /** Returns what was received since the last call, with its lines joined by "/". */
    fun received(): String {
        val text = received.toString().trimEnd().replace("\r\n", "/")
        received.clear()
        return text
    }

    fun send(line: String) = session.receive(line)

    /** Sends a statement and returns what is received within a second. */
    fun run(text: String, id: String = "id"): String {
        received()
        send("QUERY $id $text")
        timers.advance(MAX_ANSWER_MILLIS)
        return received()
    }

    /** Ends the connection as a caller does. */
    fun disconnect() = session.close()

    override fun write(text: String) {
        received.append(text)
    }

    override fun close() {
        isClosed = true
    }

    private companion object {
        const val MAX_ANSWER_MILLIS = 1_000L
    }
}
