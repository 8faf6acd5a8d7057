package dev.cardamomlane.core.fleet

/** Holds the questions that this host sent and that have not been answered yet. */
internal class OpenQuestions {
    private val open = LinkedHashMap<Long, OpenQuestion>()
    private var lastId = 0L

    /** Registers a question to [peer] that is sent at [nowMillis], and returns its id. */
    fun open(peer: MemberId, nowMillis: Long): Long {
        val id = ++lastId
        open[id] = OpenQuestion(peer, nowMillis)
        return id
    }

    /** Removes the question [id] to [from] and returns when it was sent, or null if no such question is open. */
    fun close(id: Long, from: MemberId): Long? {
        val question = open[id] ?: return null
        if (question.peer != from) return null
        open.remove(id)
        return question.sentAtMillis
    }

    /** True if a question to [peer] is open that was sent after [sinceMillis]. */
    fun isOpenSince(peer: MemberId, sinceMillis: Long): Boolean =
        open.values.any { it.peer == peer && it.sentAtMillis > sinceMillis }

    /** Removes the questions that have been open for more than [EXPIRY_MILLIS]. */
    fun expire(nowMillis: Long) {
        open.values.removeIf { nowMillis - it.sentAtMillis > EXPIRY_MILLIS }
    }

    private class OpenQuestion(val peer: MemberId, val sentAtMillis: Long)

    private companion object {
        const val EXPIRY_MILLIS = 5_000L
    }
}
