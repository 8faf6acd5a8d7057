package dev.cardamomlane.core.session

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** What a session remembers of its own commits, and what its reads require for them. */
class SessionPositionsTest {
    private val archive = DatabaseId("archive")
    private val annex = DatabaseId("annex")

    private fun at(term: Long, offset: Long) = LogPosition(term, offset)

    private fun after(vararg commits: Pair<DatabaseId, LogPosition>) =
        SessionPositions.of(commits.map { (log, position) -> LogCommit(log, position) })

    @Test
    fun `a session without commits remembers nothing`() {
        assertNull(SessionPositions.NONE.of(archive))
        assertEquals(emptyList(), SessionPositions.NONE.commits)
    }

    @Test
    fun `a commit raises the position of its log`() {
        assertEquals(at(3, 9), after(archive to at(3, 7), archive to at(3, 9)).of(archive))
        assertEquals(at(4, 1), after(archive to at(3, 7), archive to at(4, 1)).of(archive))
    }

    /** Guards against a session that forgets a commit once another one is acknowledged at a lower position. */
    @Test
    fun `nothing lowers a position`() {
        assertEquals(at(3, 9), after(archive to at(3, 9), archive to at(3, 7)).of(archive))
        assertEquals(at(4, 1), after(archive to at(4, 1), archive to at(3, 7)).of(archive))
        assertEquals(LogPosition.END, after(archive to LogPosition.END, archive to at(3, 7)).of(archive))
    }

    /** Guards against a position of one log that is compared with, or takes the place of, that of another. */
    @Test
    fun `each log has a position of its own, also after the session has left it`() {
        val positions = after(archive to at(3, 900), annex to at(1, 2), annex to at(1, 4))

        assertEquals(at(3, 900), positions.of(archive))
        assertEquals(at(1, 4), positions.of(annex))
        assertEquals(positions, SessionPositions.of(positions.commits))
    }

    @Test
    fun `what a read requires of a replica`() {
        val row = { own: LogPosition?, covering: LogPosition?, newest: LogPosition? ->
            val positions = if (own == null) after(annex to at(9, 900)) else after(annex to at(9, 900), archive to own)
            positions.required(archive, covering, newest)
        }

        assertEquals(at(3, 5), row(null, at(3, 5), at(3, 8)), "no own commit in this log")
        assertEquals(at(3, 5), row(at(3, 4), at(3, 5), at(3, 8)), "an old own commit")
        assertEquals(at(3, 7), row(at(3, 7), at(3, 5), at(3, 8)), "a newer own commit")
        assertEquals(at(3, 9), row(at(3, 9), at(3, 5), at(3, 8)), "one that the primary was not seen at yet")
        assertEquals(at(4, 2), row(at(3, 9), at(3, 5), at(4, 2)), "one of a term that a promotion has ended")
        assertEquals(at(5, 1), row(at(5, 1), at(4, 2), at(4, 2)), "one of a term that this host does not know yet")
        assertNull(row(at(3, 9), null, at(3, 8)), "no sample is new enough")
        assertNull(row(null, null, null), "nothing is known of the primary")
        assertNull(row(LogPosition.END, at(3, 5), at(3, 8)), "an own commit whose position is not known")
    }
}
