package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.core.TimerSubscription
import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.engine.fleet.GroupRecords
import dev.cardamomlane.engine.fleet.Member
import dev.cardamomlane.engine.log.DecisionLog

/**
 * This host's connection to one member, over which it forwards operations.
 *
 * While an answer is outstanding and nothing arrives, the member is pinged. Without an answer to the ping it is left out
 * of new operations, and operations that may run twice are started at another member; some time later the connection is
 * closed. So a member that is dark, or a connection that went silent, does not hold operations for long.
 *
 * Not safe for use by several threads.
 */
internal class HostConnection(
    val member: Member,
    private val timers: TimerService,
    private val log: DecisionLog,
    dialer: HostDialer,
    private val events: HostConnectionEvents,
) : HostLinkListener {
    private val operations = LinkedHashMap<Long, Waiting>()
    private val dialedAtMillis = timers.nowMillis()
    private var nextOperation = 1L
    private var isOpen = false
    private var isClosed = false
    private var receivedAtMillis = GroupRecords.NEVER
    private var pingedAtMillis: Long? = null
    private var isSilent = false
    private var watch: TimerSubscription? = null
    private val link = dialer.dial(member.address, this)

    /** When the last operation was started. */
    var usedAtMillis = dialedAtMillis
        private set

    /** True while no operation is under way. */
    val isIdle: Boolean get() = operations.isEmpty()

    /** Since when each operation has been under way. */
    fun startedAtMillis(): List<Long> = operations.values.map { it.startedAtMillis }

    /** Starts an operation, whose steps [listener] gets answers to, and returns the number that identifies it. */
    fun start(listener: OperationListener): Long {
        usedAtMillis = timers.nowMillis()
        val operation = nextOperation++
        operations[operation] = Waiting(listener, startedAtMillis = usedAtMillis)
        return operation
    }

    /**
     * Sends a step of an operation. When the connection has ended, the operation's listener is told so at once.
     *
     * @param commits with the first step, the own commits of the session that the operation is from
     * @param namesGroup with the first step, see [HostMessage.namesGroup]
     */
    fun send(
        request: OperationRequest,
        commits: List<LogCommit> = emptyList(),
        namesGroup: Boolean = false,
        refusedByHintCount: Int = 0,
    ) {
        val waiting = operations[request.operation] ?: return
        if (isClosed) return end(request.operation, waiting)
        waiting.sentAtMillis = timers.nowMillis()
        link.send(
            HostMessage(
                request = request,
                refusedByHintCount = refusedByHintCount,
                commits = commits,
                namesGroup = namesGroup,
            ),
        )
        if (watch == null) watch = timers.after(WATCH_INTERVAL_MILLIS) { watch() }
    }

    /** Ends an operation; an answer that still arrives is dropped. [lastRequest] is sent without waiting for it. */
    fun finish(operation: Long, lastRequest: OperationRequest? = null) {
        operations.remove(operation)
        if (lastRequest != null && !isClosed) link.send(HostMessage(request = lastRequest))
    }

    override fun onOpened() {
        isOpen = true
        receivedAtMillis = timers.nowMillis()
    }

    override fun onMessage(message: HostMessage) {
        receivedAtMillis = timers.nowMillis()
        pingedAtMillis = null
        isSilent = false
        if (message.isLeaving) events.onLeaving(this)
        message.part?.let { onPart(it, message) }
        message.answer?.let { onAnswer(it, message) }
    }

    private fun onPart(part: AnswerPart, message: HostMessage) {
        val rows = operations[part.operation]?.rows ?: return
        rows += part.rows
        val answer = part.answer ?: return
        val whole = answer.copy(rows = rows.toList())
        rows.clear()
        onAnswer(whole, message)
    }

    private fun onAnswer(answer: OperationAnswer, message: HostMessage) {
        val waiting = operations[answer.operation] ?: return
        waiting.sentAtMillis = null
        waiting.listener.onHint(message.hint)
        waiting.listener.onAnswer(answer, message.committedTo)
    }

    override fun onClosed() {
        if (isClosed) return
        isClosed = true
        watch?.cancel()
        events.onEnded(this)
        if (!isIdle) log.event("forward", "connection_lost", "to", member.name, "operations", operations.size)
        for ((operation, waiting) in operations.toList()) end(operation, waiting)
    }

    /** Closes the connection; operations under way end without an answer. */
    fun close() {
        if (isClosed) return
        link.close()
        onClosed()
    }

    private fun end(operation: Long, waiting: Waiting) {
        operations.remove(operation)
        waiting.listener.onLost(mayHaveArrived = isOpen)
    }

    private fun watch() {
        watch = null
        val oldestMillis = operations.values.mapNotNull { it.sentAtMillis }.minOrNull() ?: return
        val nowMillis = timers.nowMillis()
        val silentMillis = nowMillis - maxOf(oldestMillis, receivedAtMillis)
        val pingedMillis = pingedAtMillis?.let { nowMillis - it }
        when {
            !isOpen && nowMillis - dialedAtMillis > OPEN_TIMEOUT_MILLIS -> return giveUp("no connection in time")
            pingedMillis != null && pingedMillis > PONG_TIMEOUT_MILLIS -> return giveUp("silent")
            pingedMillis != null && pingedMillis > PONG_EXPECTED_MILLIS && !isSilent -> onSilent()
            isOpen && pingedMillis == null && silentMillis > SILENCE_MILLIS -> {
                pingedAtMillis = nowMillis
                link.send(HostMessage(ping = true))
            }
        }
        watch = timers.after(WATCH_INTERVAL_MILLIS) { watch() }
    }

    private fun onSilent() {
        isSilent = true
        events.onSilent(this)
        for (waiting in operations.values.toList()) {
            if (waiting.sentAtMillis != null) waiting.listener.onSilent()
        }
    }

    private fun giveUp(reason: String) {
        log.event("forward", "given_up", "to", member.name, "reason", reason, "operations", operations.size)
        events.onSilent(this)
        close()
    }

    private class Waiting(val listener: OperationListener, val startedAtMillis: Long) {
        /** When the step without an answer was sent, or null when there is none. */
        var sentAtMillis: Long? = null

        /** The rows of an answer of which more parts follow. */
        val rows = ArrayList<String>(0)
    }

    private companion object {
        const val WATCH_INTERVAL_MILLIS = 100L

        /** How long nothing may arrive while an answer is outstanding, before the member is pinged. */
        const val SILENCE_MILLIS = 150L

        /** How long a pong usually takes at most, on a link that loses no packet. */
        const val PONG_EXPECTED_MILLIS = 100L

        /** How long a pong may take. Leaves room for a lost packet that is sent again twice. */
        const val PONG_TIMEOUT_MILLIS = 900L

        const val OPEN_TIMEOUT_MILLIS = 600L
    }
}
