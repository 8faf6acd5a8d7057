package dev.cardamomlane.standin.lane.caller

import dev.cardamomlane.standin.lane.line.Line
import dev.cardamomlane.standin.lane.line.LineReader
import dev.cardamomlane.standin.lane.line.ThrottledInput
import dev.cardamomlane.standin.lane.record.RunRecord
import dev.cardamomlane.standin.settings.SocketAddress
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * One session of a caller: sends one statement at a time and blocks until its whole answer has arrived.
 *
 * Owned by one thread. The constructor connects and throws [IOException] if that fails; a session that the host refuses
 * is not [isOpen].
 *
 * @param name of the session in the [record]
 * @param readBytesPerMilli how fast the caller reads, with a small window; null for as fast as it can
 */
internal class CallerSession(
    private val name: String,
    address: SocketAddress,
    database: String,
    key: String,
    private val ids: StatementIds,
    private val record: RunRecord,
    answerTimeoutMillis: Int = 10_000,
    readBytesPerMilli: Int? = null,
) : AutoCloseable {
    private val socket = Socket()
    private val reader: LineReader

    /** Whether further statements can be sent. */
    @Volatile
    var isOpen = false
        private set

    /** The first message of the host if it refused the session, else null. */
    val refusal: String?

    /** A message other than an error that arrived while nothing was outstanding, or null. */
    @Volatile
    var unaskedMessage: String? = null
        private set

    init {
        try {
            socket.tcpNoDelay = true
            if (readBytesPerMilli != null) socket.receiveBufferSize = SMALL_WINDOW_BYTES
            socket.connect(InetSocketAddress(address.host, address.port), CONNECT_TIMEOUT_MILLIS)
            socket.soTimeout = answerTimeoutMillis
            val input = socket.getInputStream()
            reader = LineReader((readBytesPerMilli?.let { ThrottledInput(input, it) } ?: input).buffered())
            send(Line.of("START", database, key))
            val line = reader.read()
            isOpen = line != null && Line.word(line) == "READY"
            if (!isOpen) record.line("caller $name: session refused: $line")
            refusal = line.takeIf { !isOpen }
        } catch (e: IOException) {
            socket.close()
            throw e
        }
    }

    /**
     * Runs the statement [text] as [id]. A broken connection gives an answer that is cut, and the session is not open
     * then. Neither is it after a message that answers nothing; the statement isn't sent then.
     */
    fun run(text: String, id: String = ids.next()): CallerAnswer {
        record.line("caller $name sends $id $text")
        val answer = try {
            if (hasUnaskedMessage()) {
                cut(id)
            } else {
                send(Line.of("QUERY", id, text))
                read(id)
            }
        } catch (e: IOException) {
            record.line("caller $name: ${e.message}")
            cut(id)
        }
        if (answer.isCut) close()
        record.line("caller $name gets for $id: $answer")
        return answer
    }

    override fun close() {
        isOpen = false
        socket.close()
    }

    /** Whether something has arrived while nothing was outstanding. Only an error may, before the connection ends. */
    private fun hasUnaskedMessage(): Boolean {
        if (!reader.hasMore()) return false
        val line = reader.read()
        if (line != null && Line.word(line) != "ERR") unaskedMessage = line
        record.line("caller $name gets while nothing is outstanding: $line")
        return true
    }

    private fun read(id: String): CallerAnswer {
        val rows = ArrayList<String>()
        var answer: CallerAnswer? = null
        while (true) {
            val line = reader.read() ?: return cut(id)
            when (Line.word(line)) {
                "ROW" -> rows += fields(line, 1)[0]
                "DONE" -> answer = CallerAnswer(id, code = null, digest = fields(line, 1)[0], rows = rows.toList())
                "ERR" -> answer = CallerAnswer(id, code = fields(line, 2)[0])
                "READY" -> return answer?.copy(isInTransaction = fields(line, 2)[0] != "I") ?: cut(id)
                else -> throw IOException("unexpected line \"$line\"")
            }
        }
    }

    private fun fields(line: String, count: Int): List<String> =
        Line.fields(line, count) ?: throw IOException("fewer than $count fields in \"$line\"")

    private fun cut(id: String) = CallerAnswer(id, code = null, isCut = true)

    private fun send(line: String) {
        socket.getOutputStream().write(Line.bytes(line))
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 2_000
        const val SMALL_WINDOW_BYTES = 64 * 1024
    }
}
