package dev.cardamomlane.standin.lane.soak

import kotlin.test.Test
import kotlin.test.assertEquals

class HeldAtEndTest {
    private fun text(connections: Int) = "cardamomlane_sessions 0\n" +
        "cardamomlane_held{kind=\"target_connection\"} $connections.0\n" +
        "cardamomlane_held_oldest_ms{kind=\"target_connection\"} 5000\n" +
        "cardamomlane_held{kind=\"queue_place\"} 0\n"

    private fun kept(vararg texts: String?): List<String> {
        val left = ArrayDeque(texts.toList())
        return HeldAtEnd { mapOf("front-1" to left.removeFirst()) }.kept(texts.size) {}
    }

    /** Guards against a run that holds though connections to targets are never given back. */
    @Test
    fun `what is held each time is found`() {
        assertEquals(listOf("front-1 holds a target_connection"), kept(text(1), text(2), text(1)))
    }

    @Test
    fun `what is held for a moment is excused`() {
        assertEquals(emptyList(), kept(text(1), text(0), text(1)))
    }

    /** Guards against a check that holds because nothing was said. */
    @Test
    fun `a host that does not say what it holds is found`() {
        assertEquals(listOf("front-1 does not say what it holds"), kept("cardamomlane_sessions 0\n", ""))
        assertEquals(listOf("front-1 gives no metrics"), kept(null, null))
    }
}
