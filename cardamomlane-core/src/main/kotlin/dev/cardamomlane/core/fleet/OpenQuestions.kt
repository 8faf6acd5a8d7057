package dev.cardamomlane.core.fleet

/** The questions that this host sent and that have no answer yet. */
internal class OpenQuestions {
    private val open = LinkedHashMap<Long, OpenQuestion>()
    private var lastId = 0L

    fun open(peer: MemberId, nowMillis: Long): Long {
        val id = ++lastId
        open[id] = OpenQuestion(peer, nowMillis)
        return id
    }

    /** The time at which the question was sent, once; null for an answer to no open question. */
    fun close(id: Long, from: MemberId): Long? {
        val question = open[id] ?: return null
        if (question.peer != from) return null
        open.remove(id)
        return question.sentAtMillis
    }

    fun isOpenSince(peer: MemberId, sinceMillis: Long): Boolean =
        open.values.any { it.peer == peer && it.sentAtMillis > sinceMillis }

    fun expire(nowMillis: Long) {
        open.values.removeIf { nowMillis - it.sentAtMillis > LIFE_MILLIS }
    }

    private class OpenQuestion(val peer: MemberId, val sentAtMillis: Long)

    private companion object {
        const val LIFE_MILLIS = 5_000L
    }
}
