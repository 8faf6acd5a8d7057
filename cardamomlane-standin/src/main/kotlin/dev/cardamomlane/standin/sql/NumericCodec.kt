package dev.cardamomlane.standin.sql

import java.math.BigDecimal
import java.math.BigInteger
import java.nio.ByteBuffer

/** PostgreSQL's binary format of `numeric`: groups of four decimal digits with a weight, a sign and a scale. */
internal object NumericCodec {
    private const val GROUP_DIGITS = 4
    private const val NEGATIVE: Short = 0x4000
    private val groupBase = BigInteger.valueOf(10_000)

    fun encode(value: BigDecimal): ByteArray {
        val scale = maxOf(value.scale(), 0)
        val fractionGroups = (scale + GROUP_DIGITS - 1) / GROUP_DIGITS
        val groups = groups(value.abs().setScale(fractionGroups * GROUP_DIGITS).unscaledValue())
        val sign: Short = if (value.signum() < 0) NEGATIVE else 0
        val out = ByteBuffer.allocate(Short.SIZE_BYTES * (4 + groups.size))
        out.putShort(groups.size.toShort()).putShort((groups.size - fractionGroups - 1).toShort())
        out.putShort(sign).putShort(scale.toShort())
        groups.forEach { out.putShort(it) }
        return out.array()
    }

    fun decode(bytes: ByteArray): BigDecimal {
        val input = ByteBuffer.wrap(bytes)
        val count = input.short.toInt()
        val weight = input.short.toInt()
        val sign = input.short
        val scale = input.short.toInt()
        var unscaled = BigInteger.ZERO
        repeat(count) { unscaled = unscaled * groupBase + BigInteger.valueOf(input.short.toLong()) }
        val magnitude = BigDecimal(unscaled).scaleByPowerOfTen((weight + 1 - count) * GROUP_DIGITS).setScale(scale)
        return if (sign == NEGATIVE) magnitude.negate() else magnitude
    }

    private fun groups(unscaled: BigInteger): List<Short> {
        val groups = ArrayDeque<Short>()
        var left = unscaled
        while (left.signum() > 0) {
            val (quotient, remainder) = left.divideAndRemainder(groupBase)
            groups.addFirst(remainder.toShort())
            left = quotient
        }
        return groups
    }
}
