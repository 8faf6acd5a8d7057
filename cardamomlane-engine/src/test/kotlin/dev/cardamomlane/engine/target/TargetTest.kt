package dev.cardamomlane.engine.target

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.engine.FakeTargets
import dev.cardamomlane.engine.log.DecisionLog
import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import dev.cardamomlane.engine.targetEntry
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class TargetTest {
    private val timers = ManualTimerService()
    private val targets = FakeTargets(timers)
    private val target =
        Target(targetEntry("p", isPrimary = true), timers, targets, DecisionLog.None, UsesEachIdleConnection())
    private var answered = 0

    /** Sends a statement over an idle connection whenever there is capacity, as a group with queued work does. */
    private inner class UsesEachIdleConnection : TargetListener {
        override fun onCapacity(target: Target) {
            val connection = target.idle("press", SessionState(emptyMap(), emptyList())) ?: return
            target.take(connection)
            connection.execute(TargetStatement.Run("id", "READ 1", after = null)) {
                answered++
                connection.releaseOrClose(it)
            }
        }

        override fun onUnreachable(target: Target) = Unit

        override fun onReadOnly(target: Target) = Unit

        override fun onPosition(target: Target, sentAtMillis: Long, position: LogPosition) = Unit
    }

    @Test
    fun `a connection that is opened for a status query is not used for a statement before it`() {
        targets.target("p").isSilent = true
        target.status("press") { _, _ -> }
        repeat(10) {
            timers.advance(100)
            target.tick(probeCustomer = null)
        }
        assertNotNull(target.unreachableSinceMillis)
        targets.target("p").isSilent = false
        var status: TargetStatus? = null
        target.status("press") { found, _ -> status = found }

        timers.advance(100)

        assertNotNull(status)
        assertTrue(answered > 0)
    }

    /** Guards against an answer out of place, after which each statement would get the answer to another one. */
    @Test
    fun `a connection on which an answer to nothing arrives is not used again`() {
        val idle = Target(targetEntry("p", isPrimary = true), timers, targets, DecisionLog.None, UsesNothing)
        idle.status("press") { _, _ -> }
        timers.advance(100)
        val connection = assertNotNull(idle.idle("press", NO_STATE))

        connection.onAnswer(TargetAnswer(emptyList(), "digest", error = null, TransactionState.IDLE, position = null))

        assertNull(idle.idle("press", NO_STATE))
    }

    private object UsesNothing : TargetListener {
        override fun onCapacity(target: Target) = Unit

        override fun onUnreachable(target: Target) = Unit

        override fun onReadOnly(target: Target) = Unit

        override fun onPosition(target: Target, sentAtMillis: Long, position: LogPosition) = Unit
    }

    private companion object {
        val NO_STATE = SessionState(emptyMap(), emptyList())
    }
}
