package dev.cardamomlane.standin.lane.host

import dev.cardamomlane.standin.settings.SocketAddress
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse

/** What a host is started with. */
class HostSettingsFileTest {
    private val plans = HostFleet.plan(SitePlan.PRESS, count = 9, LoopbackNetwork.pick())

    @Test
    fun `hosts of one zone are counted up and share their ports but no address`() {
        assertEquals(listOf("front-kranj-1", "front-kranj-2", "front-ljubljana-1"), plans.take(3).map(HostPlan::name))
        assertEquals("front-kranj-3", plans[8].name)
        assertEquals(1, plans.map(HostPlan::callerPort).distinct().size)
        assertEquals(9, plans.map(HostPlan::address).distinct().size)
    }

    @Test
    fun `the settings name the host, the stand-ins and at most three seeds`() {
        val file = HostSettingsFile(SocketAddress("s", 1), SocketAddress("p", 2), SitePlan.PRESS, plans)
        val text = file.text(plans[1])
        assertContains(text, "node=front-kranj-2\n")
        assertContains(text, "platform.addr=s:1\n")
        assertContains(text, "cloud.addr=p:2\n")
        assertContains(text, "zones.koper=slo\n")
        assertContains(text, "seeds=${plans.take(3).joinToString(",") { "${it.controlAddress}" }}\n")
        assertFalse('{' in text)
    }

    @Test
    fun `the command of a deploy file is split at spaces`() {
        val file = createTempFile().apply { writeText("build = \"b\"\n[roles.lane]\nrun = \"java -jar x.jar\"\n") }
        assertEquals(listOf("java", "-jar", "x.jar"), DeployCommand.read(file))
        file.writeText("build = \"b\"\n")
        assertFailsWith<IllegalArgumentException> { DeployCommand.read(file) }
    }
}
