package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import kotlin.random.Random

/** A caller that writes over and over: single statements, or transactions with a pause before their commit. */
internal class TakeoverCaller(
    private val fixture: HostFixture,
    val host: Int,
    private val isTransactional: Boolean,
    private val history: WriteHistory,
    private val random: Random,
) {
    private var link = FakeCaller()
    private var session: CallerSession? = null
    private var steps: List<Statement> = emptyList()
    private var text = ""
    private var isWaiting = false
    private var collectedCount = 0
    private var notBeforeMillis = 0L
    private var writtenAtMillis = GroupRecords.NEVER

    /** True when a write was acknowledged at [millis] or later. */
    fun hasWrittenSince(millis: Long): Boolean = writtenAtMillis >= millis

    fun step() {
        collectAnswer()
        if (isWaiting || fixture.timers.nowMillis() < notBeforeMillis) return
        val open = session ?: open() ?: return
        if (steps.isEmpty()) steps = newOperation()
        isWaiting = true
        val next = steps.first()
        steps = steps.drop(1)
        open.onStatement("id", next)
    }

    private fun newOperation(): List<Statement> {
        text = history.newText()
        val write = Statement.Run(Access.WRITE, text)
        return if (isTransactional) {
            listOf(
                Statement.Begin(isReadOnly = false),
                write,
                Statement.Commit,
            )
        } else {
            listOf(write)
        }
    }

    private fun open(): CallerSession? {
        link = FakeCaller()
        collectedCount = 0
        steps = emptyList()
        session = fixture.hosts[host].openSession(link, "latest", "key").takeIf { link.isOpened }
        return session
    }

    /** The host was killed: the statement under way is never answered. */
    fun onHostLost() {
        session = null
        isWaiting = false
        steps = emptyList()
    }

    fun collectAnswer() {
        if (isWaiting && link.answers.size > collectedCount) {
            collectedCount = link.answers.size
            isWaiting = false
            val error = link.answers.last().error
            when {
                error != null -> {
                    if (error.code.isNotRun) history.refused(text)
                    steps = emptyList()
                    closeSession()
                }
                steps.isEmpty() -> {
                    history.acknowledged(text)
                    writtenAtMillis = fixture.timers.nowMillis()
                }
                steps.size == 1 -> notBeforeMillis = fixture.timers.nowMillis() + random.nextLong(MAX_PAUSE_MILLIS)
            }
        }
        if (link.isClosed) closeSession()
    }

    private fun closeSession() {
        session?.let(fixture.hosts[host]::closeSession)
        session = null
        isWaiting = false
    }

    private companion object {
        const val MAX_PAUSE_MILLIS = 1_600L
    }
}
