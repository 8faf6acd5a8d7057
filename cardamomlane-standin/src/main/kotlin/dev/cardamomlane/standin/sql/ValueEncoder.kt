package dev.cardamomlane.standin.sql

import java.nio.ByteBuffer
import java.sql.ResultSet
import java.time.LocalDate
import java.time.LocalDateTime
import java.time.LocalTime
import java.time.OffsetDateTime
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder
import java.time.temporal.ChronoField
import java.time.temporal.ChronoUnit
import java.util.HexFormat
import java.util.UUID

/** Encodes result values in PostgreSQL's text or binary format. */
internal object ValueEncoder {
    private val postgresEpoch = LocalDate.of(2000, 1, 1)
    private val timeText = DateTimeFormatterBuilder().appendPattern("HH:mm:ss")
        .appendFraction(ChronoField.MICRO_OF_SECOND, 0, 6, true).toFormatter()
    private val timestampText = DateTimeFormatterBuilder().append(DateTimeFormatter.ISO_LOCAL_DATE)
        .appendLiteral(' ').append(timeText).toFormatter()
    private val zonedText = DateTimeFormatterBuilder().append(timestampText).appendOffset("+HH:mm", "+00").toFormatter()

    /** Encodes column [index], counted from 1, of the current row. Returns null for an SQL null. */
    fun encode(row: ResultSet, index: Int, type: PgType, binary: Boolean): ByteArray? =
        if (binary) encodeBinary(row, index, type) else encodeText(row, index, type)?.toByteArray()

    private fun encodeText(row: ResultSet, index: Int, type: PgType): String? = when (type) {
        PgType.BOOL -> row.getString(index)?.let { if (row.getBoolean(index)) "t" else "f" }
        PgType.BYTEA -> row.getBytes(index)?.let { "\\x" + HexFormat.of().formatHex(it) }
        PgType.TIME -> row.getObject(index, LocalTime::class.java)?.let(timeText::format)
        PgType.TIMESTAMP -> row.getObject(index, LocalDateTime::class.java)?.let(timestampText::format)
        PgType.TIMESTAMPTZ -> row.getObject(index, OffsetDateTime::class.java)?.let(zonedText::format)
        PgType.NUMERIC -> row.getBigDecimal(index)?.toPlainString()
        else -> row.getString(index)
    }

    private fun encodeBinary(row: ResultSet, index: Int, type: PgType): ByteArray? {
        if (row.getObject(index) == null) return null
        return when (type) {
            PgType.BOOL -> byteArrayOf(if (row.getBoolean(index)) 1 else 0)
            PgType.BYTEA -> row.getBytes(index)
            PgType.INT2 -> bytes(2) { putShort(row.getShort(index)) }
            PgType.INT4 -> bytes(4) { putInt(row.getInt(index)) }
            PgType.INT8 -> bytes(8) { putLong(row.getLong(index)) }
            PgType.FLOAT4 -> bytes(4) { putFloat(row.getFloat(index)) }
            PgType.FLOAT8 -> bytes(8) { putDouble(row.getDouble(index)) }
            PgType.DATE -> bytes(4) { putInt(days(row.getObject(index, LocalDate::class.java))) }
            PgType.TIME -> bytes(8) { putLong(micros(row.getObject(index, LocalTime::class.java))) }
            PgType.TIMESTAMP -> bytes(8) { putLong(micros(row.getObject(index, LocalDateTime::class.java))) }
            PgType.TIMESTAMPTZ -> bytes(8) { putLong(micros(row.getObject(index, OffsetDateTime::class.java))) }
            PgType.NUMERIC -> NumericCodec.encode(row.getBigDecimal(index))
            PgType.UUID -> uuidBytes(row.getObject(index, UUID::class.java))
            PgType.TEXT, PgType.VARCHAR -> row.getString(index).toByteArray()
        }
    }

    private fun days(date: LocalDate): Int = ChronoUnit.DAYS.between(postgresEpoch, date).toInt()

    private fun micros(time: LocalTime): Long = time.toNanoOfDay() / NANOS_PER_MICRO

    private fun micros(time: LocalDateTime): Long = ChronoUnit.MICROS.between(postgresEpoch.atStartOfDay(), time)

    private fun micros(time: OffsetDateTime): Long =
        micros(time.withOffsetSameInstant(ZoneOffset.UTC).toLocalDateTime())

    private fun uuidBytes(uuid: UUID) = bytes(16) {
        putLong(uuid.mostSignificantBits).putLong(uuid.leastSignificantBits)
    }

    private inline fun bytes(count: Int, write: ByteBuffer.() -> Unit): ByteArray =
        ByteBuffer.allocate(count).apply(write).array()

    private const val NANOS_PER_MICRO = 1_000L
}
