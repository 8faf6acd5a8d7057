package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.TimerService

/**
 * The operations that another host forwards to this one over one connection. Each runs in a session of its own.
 *
 * Not safe for use by several threads.
 *
 * @param sessions opens a session for an operation, or returns null when this host takes none
 */
internal class IncomingOperations(
    private val link: HostLink,
    private val timers: TimerService,
    private val sessions: ForwardedSessions,
) : HostLinkListener {
    private val operations = HashMap<Long, IncomingOperation>()

    override fun onOpened() = Unit

    override fun onMessage(message: HostMessage) {
        if (message.ping) link.send(HostMessage(pong = true))
        message.request?.let { request ->
            val start = request.start
            if (start != null && message.refusedByHintCount > 0) {
                sessions.onRefusedByHint(start, message.refusedByHintCount)
            }
            onRequest(request, message)
        }
    }

    override fun onClosed() {
        val open = operations.values.toList()
        operations.clear()
        open.forEach { it.abandon() }
        sessions.onLinkClosed(this)
    }

    /** Tells the other host that this one takes no new operations. */
    fun announceLeaving() {
        link.send(HostMessage(isLeaving = true))
    }

    private fun onRequest(request: OperationRequest, message: HostMessage) {
        val known = operations[request.operation]
        val start = request.start
        when {
            request.kind == StepKind.ROLLBACK -> operations.remove(request.operation)?.abandon()
            known != null -> known.onStep(request)
            start != null -> IncomingOperation(request.operation, start, message, link, timers, sessions) { ended ->
                operations.remove(ended)
            }.also { operations[request.operation] = it }.onStep(request)
            else -> IncomingOperation.answerAborted(link, request, sessions.configurationVersion)
        }
    }

    /** Calls [action] with each operation under way. */
    fun forEach(action: (IncomingOperation) -> Unit) {
        operations.values.toList().forEach(action)
    }

    /** True when no operation is under way, and all answers are on their way. */
    val isIdle: Boolean get() = operations.isEmpty() && !link.hasUnwritten
}
