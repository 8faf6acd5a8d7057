package dev.cardamomlane.standin.lane.caller

import dev.cardamomlane.standin.lane.record.RunRecord
import dev.cardamomlane.standin.settings.SocketAddress
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

/**
 * One session of a caller: sends one statement at a time and blocks until its whole answer has arrived.
 *
 * Owned by one thread. The constructor connects and throws [IOException] if that fails; a session that the host refuses
 * is not [isOpen].
 *
 * @param name of the session in the [record]
 */
internal class CallerSession(
    private val name: String,
    address: SocketAddress,
    database: String,
    key: String,
    private val ids: StatementIds,
    private val record: RunRecord,
    answerTimeoutMillis: Int = 10_000,
) : AutoCloseable {
    private val socket = Socket()
    private val input: InputStream

    /** Whether further statements can be sent. */
    @Volatile
    var isOpen = false
        private set

    init {
        try {
            socket.tcpNoDelay = true
            socket.connect(InetSocketAddress(address.host, address.port), CONNECT_TIMEOUT_MILLIS)
            socket.soTimeout = answerTimeoutMillis
            input = socket.getInputStream().buffered()
            send("START $database $key")
            val line = readLine()
            isOpen = line != null && line.startsWith("READY")
            if (!isOpen) record.line("caller $name: session refused: $line")
        } catch (e: IOException) {
            socket.close()
            throw e
        }
    }

    /** Runs the statement [text]. A broken connection gives an answer that is cut, and the session is not open then. */
    fun run(text: String): CallerAnswer {
        val id = ids.next()
        record.line("caller $name sends $id $text")
        val answer = try {
            send("QUERY $id $text")
            read(id)
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

    private fun read(id: String): CallerAnswer {
        val rows = ArrayList<String>()
        var answer: CallerAnswer? = null
        while (true) {
            val line = readLine() ?: return cut(id)
            val words = line.split(' ', limit = 2)
            val rest = words.getOrElse(1) { "" }
            when (words[0]) {
                "ROW" -> rows += rest
                "DONE" -> answer = CallerAnswer(id, code = null, digest = rest, rows = rows.toList())
                "ERR" -> answer = CallerAnswer(id, code = rest.substringBefore(' '))
                "READY" -> return answer?.copy(isInTransaction = !rest.startsWith("I")) ?: cut(id)
                else -> throw IOException("unexpected line \"$line\"")
            }
        }
    }

    private fun cut(id: String) = CallerAnswer(id, code = null, isCut = true)

    private fun send(line: String) {
        socket.getOutputStream().write("$line\r\n".toByteArray(Charsets.ISO_8859_1))
    }

    /** Returns null at the end of the connection, also in the middle of a line. */
    private fun readLine(): String? {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            when {
                byte < 0 -> return null
                byte == '\n'.code -> return line.removeSuffix("\r").toString()
                else -> line.append(byte.toChar())
            }
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 2_000
    }
}
