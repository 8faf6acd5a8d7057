package dev.cardamomlane.core.keys

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The salted SHA-256 hash of a key.
 *
 * Keys are random and have at least 128 bits of entropy, so a key cannot be found by trying keys against a stolen hash.
 * A slow hash would only make connecting slower. Keys chosen by people would need a slow hash; they are not accepted.
 */
public class KeyHash private constructor(private val salt: ByteArray, private val digest: ByteArray) {
    /** Returns whether this is the hash of [key]. Takes the same time for every key of the same length. */
    public fun matches(key: String): Boolean = MessageDigest.isEqual(digest, digest(salt, key))

    /** Returns the hash as `sha256:salt:digest` in hexadecimal, which [parse] reads. */
    override fun toString(): String = "$SCHEME:${HEX.formatHex(salt)}:${HEX.formatHex(digest)}"

    public companion object {
        /** The minimum length of a salt, in bytes. */
        public const val MIN_SALT_BYTES: Int = 16
        private const val SCHEME = "sha256"
        private const val DIGEST_BYTES = 32
        private val HEX = HexFormat.of()

        /** Hashes [key] with [salt], which must come from a secure random source and be used for one key only. */
        public fun of(key: String, salt: ByteArray): KeyHash {
            require(salt.size >= MIN_SALT_BYTES) {
                "salt must have at least $MIN_SALT_BYTES bytes but has ${salt.size}"
            }
            return KeyHash(salt.copyOf(), digest(salt, key))
        }

        /** Parses what [toString] returned, or returns null if [text] has another form. */
        public fun parse(text: String): KeyHash? {
            val parts = text.split(':')
            if (parts.size != 3 || parts[0] != SCHEME) return null
            val salt = parseHex(parts[1]) ?: return null
            val digest = parseHex(parts[2]) ?: return null
            return if (salt.size < MIN_SALT_BYTES || digest.size != DIGEST_BYTES) null else KeyHash(salt, digest)
        }

        private fun parseHex(text: String): ByteArray? = try {
            HEX.parseHex(text)
        } catch (e: IllegalArgumentException) {
            null
        }

        private fun digest(salt: ByteArray, key: String): ByteArray {
            val sha256 = MessageDigest.getInstance("SHA-256")
            sha256.update(salt)
            return sha256.digest(key.toByteArray())
        }
    }
}
