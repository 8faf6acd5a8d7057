package dev.cardamomlane.engine.fleet

import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/**
 * Compresses bytes against a base, which both sides have: what the bytes have in common with the base costs little.
 *
 * Not safe for use by several threads.
 */
internal class HeartbeatCompression {
    private val deflater by lazy { Deflater(Deflater.DEFAULT_COMPRESSION) }
    private val inflater by lazy { Inflater() }
    private val buffer by lazy { ByteArray(MAX_BYTES) }

    /** Compresses [bytes] against [base], or alone without one. Returns null when they are too long. */
    fun compress(bytes: ByteArray, base: ByteArray?): ByteArray? {
        if (bytes.size > MAX_BYTES) return null
        deflater.reset()
        base?.let(deflater::setDictionary)
        deflater.setInput(bytes)
        deflater.finish()
        val sizeBytes = deflater.deflate(buffer)
        return if (deflater.finished()) buffer.copyOf(sizeBytes) else null
    }

    /**
     * Returns what [compress] was given, or null when [compressed] is damaged, too long, or was compressed against
     * other bytes than [base].
     */
    fun decompress(compressed: ByteArray, base: ByteArray?): ByteArray? {
        inflater.reset()
        inflater.setInput(compressed)
        return try {
            var sizeBytes = inflater.inflate(buffer)
            if (inflater.needsDictionary()) {
                inflater.setDictionary(base ?: return null)
                sizeBytes = inflater.inflate(buffer)
            }
            if (inflater.finished()) buffer.copyOf(sizeBytes) else null
        } catch (_: DataFormatException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    private companion object {
        /** More than any heartbeat; a datagram holds less. */
        const val MAX_BYTES = 65_536
    }
}
