package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus
import org.junit.jupiter.api.Test
import reactor.core.publisher.Mono
import java.time.Duration
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** The tests of every [TargetControl], on a group with [a] as the primary of term 1 and [b] and [c] as its replicas. */
internal abstract class TargetControlContract {
    protected abstract val a: TargetControl
    protected abstract val b: TargetControl
    protected abstract val c: TargetControl

    private fun <T : Any> Mono<T>.await(): T = checkNotNull(block(Duration.ofSeconds(10)))

    private fun status(control: TargetControl): TargetStatus = control.status(newConnection = false).await()

    @Test
    fun `the first target is the primary of term 1 and the others follow it`() {
        assertTrue(status(a).isPrimaryInTerm)
        assertEquals(1, status(a).fenceTerm)
        assertEquals(listOf(a.target, a.target), listOf(b, c).map { status(it).following })
    }

    @Test
    fun `a new connection gives the same status as the kept one`() {
        assertEquals(status(b).role, b.status(newConnection = true).await().role)
        assertEquals(TargetRole.REPLICA, status(b).role)
    }

    @Test
    fun `a term is granted to one claimant only and again when that claimant repeats the fence`() {
        val cases = listOf(
            Triple(2L, "one", true),
            Triple(2L, "one", true),
            Triple(2L, "two", false),
            Triple(1L, "one", false),
            Triple(3L, "two", true),
            Triple(2L, "one", false),
        )
        for ((term, claimant, granted) in cases) {
            assertEquals(granted, b.fence(term, claimant).await().granted, "term $term for $claimant")
        }
        assertEquals(3L to "two", status(b).run { fenceTerm to fenceClaimant })
    }

    @Test
    fun `a fenced primary is not the primary of its term any more`() {
        assertFalse(a.fence(2, "one").await().status.isPrimaryInTerm)
    }

    @Test
    fun `a promotion is granted only to the claimant of the fence and only in its term`() {
        b.fence(2, "one").await()
        assertFalse(b.promote(2, "two").await())
        assertFalse(b.promote(3, "one").await())
        assertTrue(b.promote(2, "one").await())
        assertTrue(b.promote(2, "one").await())
        assertTrue(status(b).isPrimaryInTerm)
        assertEquals(2, status(b).received.term)
    }

    @Test
    fun `all targets follow the primary of a new term, including the old primary`() {
        listOf(b, c).forEach { it.fence(2, "one").await() }
        b.promote(2, "one").await()
        for (control in listOf(a, c, a)) assertTrue(control.follow(2, b.target).await())
        assertFalse(b.follow(2, a.target).await())
        assertFalse(a.follow(1, TargetId("c")).await())
        assertEquals(TargetRole.REPLICA to b.target, status(a).run { role to following })
    }
}
