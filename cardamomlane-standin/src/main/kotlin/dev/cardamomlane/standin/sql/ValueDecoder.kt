package dev.cardamomlane.standin.sql

import java.math.BigDecimal
import java.nio.ByteBuffer
import java.time.LocalDate
import java.time.LocalDateTime
import java.time.LocalTime
import java.time.OffsetDateTime
import java.time.ZoneOffset
import java.time.temporal.ChronoUnit
import java.util.HexFormat
import java.util.UUID

/** Decodes parameter values in PostgreSQL's text or binary format. */
internal object ValueDecoder {
    private val postgresEpoch = LocalDate.of(2000, 1, 1)

    /** Decodes [bytes] as the type with [oid]. For 0 the text is returned, and the engine converts it to its type. */
    fun decode(bytes: ByteArray, oid: Int, binary: Boolean): Any {
        val type = PgType.ofOid(oid)
        return if (binary) decodeBinary(bytes, type) else decodeText(String(bytes), type)
    }

    private fun decodeText(text: String, type: PgType): Any = when (type) {
        PgType.BOOL -> text.lowercase() in trueTexts
        PgType.INT2, PgType.INT4 -> text.trim().toInt()
        PgType.INT8 -> text.trim().toLong()
        PgType.FLOAT4, PgType.FLOAT8 -> text.trim().toDouble()
        PgType.NUMERIC -> BigDecimal(text.trim())
        PgType.UUID -> UUID.fromString(text)
        PgType.BYTEA -> if (text.startsWith("\\x")) HexFormat.of().parseHex(text.substring(2)) else text.toByteArray()
        else -> text
    }

    private fun decodeBinary(bytes: ByteArray, type: PgType): Any {
        val input = ByteBuffer.wrap(bytes)
        return when (type) {
            PgType.BOOL -> input.get() != 0.toByte()
            PgType.INT2 -> input.short
            PgType.INT4 -> input.int
            PgType.INT8 -> input.long
            PgType.FLOAT4 -> input.float
            PgType.FLOAT8 -> input.double
            PgType.DATE -> postgresEpoch.plusDays(input.int.toLong())
            PgType.TIME -> LocalTime.MIDNIGHT.plus(input.long, ChronoUnit.MICROS)
            PgType.TIMESTAMP -> timestamp(input.long)
            PgType.TIMESTAMPTZ -> OffsetDateTime.of(timestamp(input.long), ZoneOffset.UTC)
            PgType.NUMERIC -> NumericCodec.decode(bytes)
            PgType.UUID -> UUID(input.long, input.long)
            PgType.BYTEA -> bytes
            PgType.TEXT, PgType.VARCHAR -> String(bytes)
        }
    }

    private fun timestamp(micros: Long): LocalDateTime = postgresEpoch.atStartOfDay().plus(micros, ChronoUnit.MICROS)

    private val trueTexts = setOf("t", "true", "1", "y", "yes", "on")
}
