package dev.cardamomlane.core.codec

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class UntrustedJsonTest {
    @Serializable
    private data class Entry(val name: String, val count: Int = 0, val inner: List<Inner> = emptyList()) {
        init {
            require(count >= 0)
        }
    }

    @Serializable
    private data class Inner(val name: String)

    private val json = UntrustedJson(Json { ignoreUnknownKeys = true })

    /** Guards against a text of another writer that overflows the stack and so ends more than its own reading. */
    @Test
    fun `a text nested too deeply is refused`() = SmallStack.run {
        val texts = listOf("[", "{\"a\":", "{\"name\":\"x\",\"inner\":[", "[{\"a\":").map { it.repeat(DEEP_LEVELS) }
        for (text in texts) {
            assertNull(json.parse(text).getOrNull(), text.take(40))
            assertNull(json.decode(Entry.serializer(), text).getOrNull(), text.take(40))
        }
    }

    /** Guards against a configuration of a newer version that is refused for a field which this version does not know. */
    @Test
    fun `an unknown key of any depth is skipped`() = SmallStack.run {
        val unknown = "[".repeat(DEEP_LEVELS) + "]".repeat(DEEP_LEVELS)

        assertEquals("x", json.decode(Entry.serializer(), """{"new":$unknown,"name":"x"}""").getOrNull()?.name)
    }

    @Test
    fun `brackets inside strings are no nesting`() {
        val name = "[{".repeat(DEEP_LEVELS) + "\\\"[["
        val read = json.decode(Entry.serializer(), """{"name":"$name","count":1}""").getOrNull()

        assertEquals(1, read?.count)
    }

    @Test
    fun `nesting up to the limit is read`() {
        val depth = UntrustedJson.MAX_DEPTH
        assertNotNull(json.parse("[".repeat(depth) + "]".repeat(depth)).getOrNull())
        assertNull(json.parse("[".repeat(depth + 1) + "]".repeat(depth + 1)).getOrNull())
    }

    @Test
    fun `values that the type refuses and numbers out of range are reported`() {
        val texts = listOf(
            """{"name":"x","count":-1}""", """{"name":"x","count":99999999999}""", """{"name":"x","count":1e999}""",
            """{"name":"x","count":"x"}""", """{"name":7,"count":[]}""", """{"count":1}""", "null", "", "{", "\u0000",
        )
        for (text in texts) {
            val reason = json.decode(Entry.serializer(), text).leftOrNull()?.reason
            assertTrue(reason != null && '\n' !in reason && reason.length < 250, "$text: $reason")
        }
    }

    /** Guards against an exception that the decoder throws for a text which no case above names. */
    @Test
    fun `no mutated text makes it throw`() = SmallStack.run {
        val random = Random(SEED)
        repeat(MUTATIONS) {
            val text =
                StringBuilder("""{"name":"n\u0041","count":12,"inner":[{"name":"m","inner":[]}],"x":{"y":[1e3]}}""")
            repeat(random.nextInt(1, 6)) { mutate(text, random) }
            json.decode(Entry.serializer(), text.toString())
            json.parse(text.toString())
        }
    }

    private fun mutate(text: StringBuilder, random: Random) {
        val at = random.nextInt(text.length)
        when (random.nextInt(3)) {
            0 -> text.setCharAt(at, MUTANTS.random(random))
            1 -> text.insert(at, MUTANTS.random(random).toString().repeat(random.nextInt(1, 100)))
            else -> text.deleteCharAt(at)
        }
    }

    private companion object {
        const val DEEP_LEVELS = 60_000
        const val SEED = 37
        const val MUTATIONS = 20_000
        const val MUTANTS = "{}[]\",:\\\u0000\r\n-+.eE0123456789abtfnul \uD800"
    }
}
