package dev.cardamomlane.core

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A position in the replicated log of a database group.
 *
 * Positions are ordered by the term of the log record first and by its offset second. A target that has applied any
 * record of term N + 1 contains every write that was acknowledged in term N. So a target at a greater position contains
 * every acknowledged write up to a smaller one.
 *
 * @property term the term of the log record; not the fencing term of a target
 * @property offset the number of the record in the log, counted from 1; 0 is the position before the first record
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class LogPosition(val term: Long, val offset: Long) : Comparable<LogPosition> {
    init {
        require(term >= 0) { "term must not be negative but was $term" }
        require(offset >= 0) { "offset must not be negative but was $offset" }
    }

    override fun compareTo(other: LogPosition): Int =
        if (term != other.term) term.compareTo(other.term) else offset.compareTo(other.offset)

    /** Returns the position as `term:offset`, which [parse] reads. */
    override fun toString(): String = "$term:$offset"

    public companion object {
        /** The position before the first record. */
        public val START: LogPosition = LogPosition(term = 0, offset = 0)

        /** After every record. Stands for a position that is not known, so that no log reaches it. */
        public val END: LogPosition = LogPosition(term = Long.MAX_VALUE, offset = Long.MAX_VALUE)

        /** Parses what [toString] returned, or returns null if [text] is not a position. */
        public fun parse(text: String): LogPosition? {
            val parts = text.split(':')
            if (parts.size != 2) return null
            val term = parts[0].toLongOrNull() ?: return null
            val offset = parts[1].toLongOrNull() ?: return null
            return if (term < 0 || offset < 0) null else LogPosition(term, offset)
        }
    }
}
