package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.FakePromotions
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.config.Features
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.targetEntry
import dev.cardamomlane.engine.zone.ZoneDrains
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Takeovers of a group whose commits are acknowledged once a replica has received them. `r2` is the only replica that has
 * the newest ones.
 */
class ReplicatedTakeoverTest {
    private val write = Statement.Run(Access.WRITE, "WRITE 1 x")
    private val read = Statement.Run(Access.READ, "READ 1")
    private val fixture = fixture()
    private var listVersion = 1L

    private fun fixture(features: Features = Features.NONE, drains: ZoneDrains? = null) = HostFixture(
        hostCount = 3,
        settleMillis = KNOWN_AFTER_MILLIS,
        isReplicatedBeforeAcknowledged = true,
        features = features,
        drains = drains,
        entries = entries(),
    ).also {
        use(it)
        it.timers.advance(200)
        it.targets.target("r1").position = LogPosition(1, 2)
        it.targets.target("r2").position = LogPosition(1, 9)
    }

    private fun entries(vararg draining: String, unlisted: Set<String> = emptySet()): List<TargetEntry> =
        listOf("p", "r1", "r2").filter { it !in unlisted }.map {
            targetEntry(it, isPrimary = it == "p", isDraining = it in draining, zone = if (it == "r2") "z" else "a")
        }

    private fun list(entries: List<TargetEntry>) {
        listVersion++
        fixture.hosts.forEach { it.updateTargets(entries, StorePosition(1, listVersion)) }
    }

    /** Sends a write at every host, so that each uses the primary and notices when it does not answer. */
    private fun use(fixture: HostFixture = this.fixture) {
        for (index in fixture.hosts.indices) fixture.open(FakeCaller(), host = index).onStatement("w$index", write)
    }

    private fun crash(id: String, fixture: HostFixture = this.fixture) {
        val target = fixture.targets.target(id)
        target.isDown = true
        fixture.targets.links.filter { it.target === target }.forEach { it.disconnect() }
        use(fixture)
    }

    private fun promoted() = fixture.promotions.map { it.first }.distinct()

    private fun primary() = fixture.hosts[0].group(DatabaseId("g"))?.primary?.entry?.id?.value

    private fun answer(database: String, statement: Statement) =
        FakeCaller().let { fixture.ask(fixture.open(it, database), it, statement, millis = 300) }

    /** Guards against the loss of the commits that only a replica has which is about to leave, review/6. */
    @Test
    fun `a draining replica that alone has the newest commits is promoted`() {
        list(entries("r2"))
        crash("p")

        fixture.timers.advance(3_000)

        assertEquals(listOf("r2" to 1L), fixture.promotions)
    }

    /** Guards against a group without a primary while every replica is about to leave. */
    @Test
    fun `the replica with the newest commits is promoted when all of them drain`() {
        list(entries("r1", "r2"))
        crash("p")

        fixture.timers.advance(3_000)

        assertEquals(listOf("r2" to 1L), fixture.promotions)
    }

    /** Guards against the loss of the commits that only a replica in a draining zone has. */
    @Test
    fun `a replica in a draining zone that alone has the newest commits is promoted`() {
        val zones = fixture(Features(drainsZones = true), ZoneDrains.of(StorePosition(1, 1), emptyList()))
        zones.hosts.forEach { it.updateDrains(ZoneDrains.of(StorePosition(1, 2), listOf("z"))) }
        crash("p", zones)

        zones.timers.advance(3_000)

        assertEquals("r2" to 1L, zones.promotions.first())
    }

    /** Guards against the loss of the commits that only a replica has which still answers but is off the list. */
    @Test
    fun `a replica that is off the list and alone has the newest commits is not passed over`() {
        list(entries(unlisted = setOf("r2")))
        crash("p")

        fixture.timers.advance(3_000)

        assertEquals("r2", fixture.promotions.first().first)
    }

    /** Guards against the loss of the commits that only a replica has which no host reaches for a few seconds. */
    @Test
    fun `a replica that can't be reached is waited for`() {
        fixture.hosts.indices.forEach { fixture.targets.partitionedPaths += "host-$it/r2" }
        crash("p")
        fixture.timers.advance(6_000)
        assertEquals(emptyList(), fixture.promotions)

        fixture.targets.partitionedPaths.clear()
        fixture.timers.advance(3_000)

        assertEquals(listOf("r2"), promoted())
    }

    /** Guards against a wait without an end. */
    @Test
    fun `a replica that never answers is left out after the longest wait`() {
        crash("r2")
        crash("p")

        fixture.timers.advance(12_000)

        assertEquals(listOf("r1"), promoted())
    }

    /** Guards against a wait for a replica that counts as lost: it has long been off the list. */
    @Test
    fun `a replica that has long been off the list is not waited for`() {
        crash("r2")
        list(entries(unlisted = setOf("r2")))
        fixture.timers.advance(8_500)
        crash("p")

        fixture.timers.advance(3_000)

        assertEquals(listOf("r1"), promoted())
    }

    /** Guards against the promotion of another replica when the one with the newest commits ends before its order. */
    @Test
    fun `a replica that ends between its answer and its order is waited for`() {
        list(entries("r2"))
        fixture.promotionCalls.nextFate = {
            if (fixture.promotions.isEmpty()) fixture.targets.target("r2").isDown = true
            FakePromotions.Fate()
        }
        crash("p")
        fixture.timers.advance(3_000)
        assertEquals(listOf("r2"), promoted())

        fixture.targets.target("r2").isDown = false
        fixture.timers.advance(3_500)

        assertEquals(listOf("r2"), promoted())
        assertEquals("r2", primary())
    }

    /** Guards against the loss of the commits that a primary was promoted for, when it ends before a replica has them. */
    @Test
    fun `a primary that was promoted for its commits is waited for as long as no replica has them`() {
        list(entries("r2"))
        crash("p")
        fixture.timers.advance(3_000)
        assertEquals("r2", primary())
        // The old primary is gone for good.
        list(entries("r2", unlisted = setOf("p")))
        fixture.timers.advance(8_500)
        // The other replica follows the new primary but has received nothing from it yet.
        fixture.targets.target("r1").position = LogPosition(2, 2)
        crash("r2")
        fixture.timers.advance(5_000)
        assertEquals(listOf("r2"), promoted())

        fixture.targets.target("r2").isDown = false
        fixture.targets.target("r2").isPrimary = false
        fixture.timers.advance(5_000)

        assertEquals(listOf("r2"), promoted())
        assertEquals("r2", primary())
    }

    /** Guards against a group without service from the promotion of a draining replica to the end of another one's lag. */
    @Test
    fun `a primary that is about to leave serves while no replica has caught up, sessions included`() {
        list(entries("r2"))
        crash("p")
        fixture.timers.advance(2_500)
        assertEquals("r2", primary())

        assertNull(checkNotNull(answer("latest", write)).error)
        assertNull(checkNotNull(answer("session", read)).error)
        assertNull(checkNotNull(answer("latest", write)).error)

        assertEquals(listOf("r2"), promoted())
    }

    /** Guards against statements at a primary later than it may be sent any, which DRAIN forbids. */
    @Test
    fun `a primary that is about to leave gets no statement after its bound`() {
        list(entries("r2"))
        crash("p")
        fixture.timers.advance(5_500)
        val before = fixture.targets.target("r2").ran.size

        answer("latest", write)

        assertEquals(before, fixture.targets.target("r2").ran.size)
    }

    /** Guards against a primary that leaves and is not replaced although a replica has caught up meanwhile. */
    @Test
    fun `a primary that is about to leave is replaced once a replica has caught up`() {
        list(entries("r2"))
        crash("p")
        fixture.timers.advance(2_500)
        assertEquals("r2", primary())
        fixture.targets.target("r1").position = fixture.targets.target("r2").position

        fixture.timers.advance(2_000)

        assertEquals(listOf("r2", "r1"), promoted())
        assertNull(checkNotNull(answer("latest", write)).error)
    }

    /** Guards against writes that stop over and over while no replica has caught up with a primary that leaves. */
    @Test
    fun `a primary that is about to leave is not stopped for replicas that have not caught up`() {
        list(entries("p"))
        fixture.targets.target("p").position = LogPosition(1, 20)
        fixture.timers.advance(1_800)
        val claimsBefore = claims()

        val answers = (1..10).map { answer("latest", write) }

        assertTrue(answers.all { it != null && it.error == null }, "$answers")
        assertEquals(claimsBefore, claims())
        assertEquals(emptyList(), fixture.promotions)
    }

    private fun claims() = checkNotNull(fixture.store.written.lastOrNull()) { "no claim" }.fence

    private companion object {
        /** A host that has started this long ago knows of every target that may hold commits. */
        const val KNOWN_AFTER_MILLIS = 9_000L
    }
}
