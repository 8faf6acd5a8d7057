package dev.cardamomlane.standin.lane.host

import java.nio.ByteBuffer
import java.nio.ByteOrder
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/**
 * How far the time of day of each host is off, in files that the hosts' clocks follow: `HOST.clock` in [directory] holds
 * the offset in milliseconds, and `HOST.clock.met` the last one that a reading of the clock met, both as 64-bit integers
 * in the byte order of the machine.
 *
 * Not safe for use by several threads.
 */
internal class ClockOffsets(private val directory: Path, hosts: List<String>) {
    /** How many offsets other than 0 a host had met when they ended. */
    var metCount = 0
        private set

    init {
        hosts.forEach { write(file(it), 0) }
    }

    /** Sets the offset of [host], and counts the one before if it was met. */
    fun set(host: String, offsetMillis: Long) {
        val before = read(file(host))
        if (before != 0L && before == read(directory.resolve("$host.clock.met"))) metCount++
        write(file(host), offsetMillis)
    }

    private fun file(host: String) = directory.resolve("$host.clock")

    /** Returns null if nothing was written to [file] yet. */
    private fun read(file: Path): Long? {
        if (!Files.exists(file)) return null
        val bytes = Files.readAllBytes(file)
        return if (bytes.size < Long.SIZE_BYTES) null else ByteBuffer.wrap(bytes).order(ByteOrder.nativeOrder()).long
    }

    /** Overwrites the value in place, so that a reader never finds an empty file. */
    private fun write(file: Path, value: Long) {
        val bytes = ByteBuffer.allocate(Long.SIZE_BYTES).order(ByteOrder.nativeOrder()).putLong(value).flip()
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE).use { it.write(bytes, 0) }
    }
}
