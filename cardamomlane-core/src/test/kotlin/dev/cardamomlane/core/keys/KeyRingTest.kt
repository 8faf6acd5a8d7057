package dev.cardamomlane.core.keys

import dev.cardamomlane.core.CustomerId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class KeyRingTest {
    private val ana = CustomerId("ana")
    private val bor = CustomerId("bor")
    private val ring = KeyRing(listOf(record("k1", ana, "one"), record("k2", ana, "two"), record("k3", bor, "three")))

    @Test
    fun `identifies each key of a customer`() {
        assertEquals(KeyId("k1"), ring.identify(ana, "one"))
        assertEquals(KeyId("k2"), ring.identify(ana, "two"))
    }

    @Test
    fun `a key is valid only for its own customer`() {
        assertNull(ring.identify(bor, "one"))
        assertNull(ring.identify(CustomerId("none"), ""))
        assertFalse(ring.isGranted(bor, KeyId("k1")))
    }

    @Test
    fun `a withdrawn key is no longer granted`() {
        val rest = KeyRing(ring.records.drop(1))

        assertTrue(ring.isGranted(ana, KeyId("k1")))
        assertFalse(rest.isGranted(ana, KeyId("k1")))
        assertNull(rest.identify(ana, "one"))
    }

    @Test
    fun `a hash can be parsed from its text, which does not contain the key`() {
        val hash = KeyHash.of("key-in-clear", ByteArray(16) { it.toByte() })

        assertTrue(checkNotNull(KeyHash.parse(hash.toString())).matches("key-in-clear"))
        assertFalse("key-in-clear" in hash.toString())
    }

    @Test
    fun `equal keys have different hashes under different salts`() {
        assertFalse(KeyHash.of("a", ByteArray(16)).toString() == KeyHash.of("a", ByteArray(16) { 1 }).toString())
    }

    @Test
    fun `texts of another form are not parsed as hashes`() {
        for (text in listOf("", "sha256:00:00", "md5:${"00".repeat(16)}:${"00".repeat(32)}", "sha256:zz:zz")) {
            assertNull(KeyHash.parse(text), text)
        }
        assertFailsWith<IllegalArgumentException> { KeyRing(listOf(KeyRecord(KeyId("k"), ana, "x"))) }
    }

    @Test
    fun `rejects two keys with the same id`() {
        assertFailsWith<IllegalArgumentException> { KeyRing(listOf(record("k", ana, "a"), record("k", bor, "b"))) }
    }

    private fun record(id: String, customer: CustomerId, key: String) =
        KeyRecord(KeyId(id), customer, KeyHash.of(key, ByteArray(16) { id.hashCode().toByte() }).toString())
}
