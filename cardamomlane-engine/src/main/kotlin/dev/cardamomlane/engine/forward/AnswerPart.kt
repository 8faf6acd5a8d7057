package dev.cardamomlane.engine.forward

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * A part of an answer whose rows take more than one message.
 *
 * @property operation identifies the operation on its connection
 * @property rows come after those of the parts before
 * @property answer the answer without its rows, with the last part; null while more parts follow
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class AnswerPart(val operation: Long, val rows: List<String>, val answer: OperationAnswer?) {
    internal companion object {
        /** The most characters of a part's rows, unless a single row is longer. */
        const val MAX_CHARACTERS = 1 shl 20

        /** What the encoding of a row adds at most, counted as characters. */
        private const val ROW_OVERHEAD = 5

        /** The parts of [answer], or an empty list when it fits into one message. */
        fun of(answer: OperationAnswer): List<AnswerPart> {
            val chunks = chunks(answer.rows)
            if (chunks.size <= 1) return emptyList()
            val end = answer.copy(rows = emptyList())
            return chunks.mapIndexed { index, rows ->
                AnswerPart(answer.operation, rows, end.takeIf { index == chunks.lastIndex })
            }
        }

        private fun chunks(rows: List<String>): List<List<String>> {
            val chunks = ArrayList<List<String>>()
            var first = 0
            var size = 0
            for ((index, row) in rows.withIndex()) {
                val rowSize = row.length + ROW_OVERHEAD
                if (index > first && size + rowSize > MAX_CHARACTERS) {
                    chunks += rows.subList(first, index)
                    first = index
                    size = 0
                }
                size += rowSize
            }
            if (first < rows.size) chunks += rows.subList(first, rows.size)
            return chunks
        }
    }
}
