package dev.cardamomlane.standin.lane.cases

import java.nio.ByteBuffer
import java.nio.ByteOrder
import java.nio.file.Path
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes

/**
 * How far the time of day of each host is off, in files that the hosts' clocks follow: `HOST.clock` in [directory] holds
 * the offset in milliseconds, and `HOST.clock.met` the last one that a reading of the clock met, both as 64-bit integers
 * in the byte order of the machine.
 */
internal class ClockOffsets(private val directory: Path, hosts: List<String>) {
    /** How many offsets other than 0 a host had met when they ended. */
    var metCount = 0
        private set

    init {
        hosts.forEach { file(it).writeBytes(bytes(0)) }
    }

    /** Sets the offset of [host], and counts the one before if it was met. */
    fun set(host: String, offsetMillis: Long) {
        val before = read(file(host))
        if (before != 0L && before == read(directory.resolve("$host.clock.met"))) metCount++
        file(host).writeBytes(bytes(offsetMillis))
    }

    private fun file(host: String) = directory.resolve("$host.clock")

    private fun read(file: Path): Long? = try {
        ByteBuffer.wrap(file.readBytes()).order(ByteOrder.nativeOrder()).long
    } catch (_: java.nio.file.NoSuchFileException) {
        null
    }

    private fun bytes(value: Long) =
        ByteBuffer.allocate(Long.SIZE_BYTES).order(ByteOrder.nativeOrder()).putLong(value).array()
}
