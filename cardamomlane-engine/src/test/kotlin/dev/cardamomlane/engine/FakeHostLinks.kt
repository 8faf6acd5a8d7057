package dev.cardamomlane.engine

import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.forward.HostDialer
import dev.cardamomlane.engine.forward.HostLink
import dev.cardamomlane.engine.forward.HostLinkListener
import dev.cardamomlane.engine.forward.HostMessage
import dev.cardamomlane.engine.forward.HostMessageCodec
import dev.cardamomlane.engine.forward.OperationAnswer
import dev.cardamomlane.engine.forward.OperationRequest
import dev.cardamomlane.engine.forward.StepKind
import dev.cardamomlane.engine.log.TrafficKind

/**
 * The connections between hosts in memory. Every message passes the codec, and one that is too long ends its connection.
 * While [isPartitioned] returns true for two hosts, nothing arrives between them. [onSent] receives the kind and the bytes
 * of each message. [whenAwake] calls an action of the named host, at once or when its machine is no longer suspended.
 */
class FakeHostLinks(
    private val timers: TimerService,
    private val onSent: (TrafficKind, Int) -> Unit,
    private val isPartitioned: (String, String) -> Boolean,
    private val whenAwake: (String, () -> Unit) -> Unit,
) {
    private val hosts = HashMap<String, ProxyHost>()
    private val ends = ArrayList<End>()

    /** The number of connections that were opened. */
    var openedCount = 0
        private set

    /** The requests that arrived at each host. */
    val requestCounts = HashMap<String, Int>()

    /** The answers that a host sent for an operation of which every step had its answer already. */
    val surplusAnswers = ArrayList<OperationAnswer>()

    fun add(name: String, host: ProxyHost) {
        hosts[name] = host
    }

    fun dialerFor(name: String): HostDialer = HostDialer { address, listener -> dial(name, address, listener) }

    /** Ends every connection of the host [name], as a crash of it does. */
    fun disconnect(name: String) {
        ends.filter { it.from == name || it.to == name }.forEach { it.disconnect() }
    }

    private fun dial(from: String, to: String, listener: HostLinkListener): HostLink {
        openedCount++
        val near = End(from, to)
        val far = End(to, from)
        near.other = far
        far.other = near
        near.listener = listener
        ends += near
        ends += far
        timers.after(CONNECT_MILLIS) {
            val host = hosts[to]
            if (near.isClosed || host == null || isPartitioned(from, to)) return@after
            whenAwake(to) {
                if (near.isClosed) return@whenAwake
                far.listener = host.onHostLink(far)
                near.open()
                far.open()
                whenAwake(from) { if (!near.isClosed) listener.onOpened() }
            }
        }
        return near
    }

    private inner class End(val from: String, val to: String) : HostLink {
        lateinit var other: End
        lateinit var listener: HostLinkListener
        var isClosed = false
        private var isOpen = false
        private val unsent = ArrayList<HostMessage>()
        private val unansweredSteps = HashMap<Long, Int>()

        override val hasUnwritten: Boolean get() = unsent.isNotEmpty()

        fun open() {
            isOpen = true
            unsent.forEach(::deliver)
            unsent.clear()
        }

        override fun send(message: HostMessage) {
            if (isClosed) return
            if (isOpen) deliver(message) else unsent += message
        }

        private fun deliver(message: HostMessage) {
            (message.answer ?: message.part?.answer)?.let(::countAnswer)
            val bytes = HostMessageCodec.encode(message)
            onSent(TrafficKind.of(message), bytes.size)
            if (bytes.size > HostMessageCodec.MAX_BYTES) return fail()
            timers.after(DELAY_MILLIS) {
                if (isPartitioned(from, to)) return@after
                whenAwake(to) {
                    if (other.isClosed) return@whenAwake
                    message.request?.let(other::countRequest)
                    other.listener.onMessage(checkNotNull(HostMessageCodec.decode(bytes)))
                }
            }
        }

        private fun fail() {
            timers.after(DELAY_MILLIS) {
                other.disconnect()
                disconnect()
            }
        }

        private fun countRequest(request: OperationRequest) {
            requestCounts.merge(from, 1, Int::plus)
            if (request.kind == StepKind.ROLLBACK) {
                unansweredSteps.remove(request.operation)
            } else {
                unansweredSteps.merge(request.operation, 1, Int::plus)
            }
        }

        private fun countAnswer(answer: OperationAnswer) {
            val left = (unansweredSteps.remove(answer.operation) ?: 0) - 1
            if (left < 0) surplusAnswers += answer
            if (left > 0) unansweredSteps[answer.operation] = left
        }

        override fun close() {
            if (isClosed) return
            isClosed = true
            timers.after(DELAY_MILLIS) { if (isOpen && !isPartitioned(from, to)) other.disconnect() }
        }

        fun disconnect() {
            if (isClosed) return
            isClosed = true
            whenAwake(from) { if (::listener.isInitialized) listener.onClosed() }
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1L
        const val DELAY_MILLIS = 1L
    }
}
