package dev.cardamomlane.engine.forward

import dev.cardamomlane.engine.HostFixture
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ForwardedOperationsTest {
    private val fixture = HostFixture()

    private class Link : HostLink {
        override var hasUnwritten = false

        override fun send(message: HostMessage) = Unit

        override fun close() = Unit
    }

    /** Guards against a stop that ends the process while an answer to another host is still on its way. */
    @Test
    fun `operations are not idle until their answers are written`() {
        val operations = ForwardedOperations(fixture.hosts[0], fixture.timers) { true }
        val link = Link()
        operations.onLink(link)
        assertTrue(operations.isIdle)

        link.hasUnwritten = true

        assertFalse(operations.isIdle)
    }
}
