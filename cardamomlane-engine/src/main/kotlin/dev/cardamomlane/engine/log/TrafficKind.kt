package dev.cardamomlane.engine.log

import dev.cardamomlane.engine.fleet.PeerMessage
import dev.cardamomlane.engine.forward.HostMessage

/**
 * The kinds of messages between hosts, by which their bytes are counted.
 *
 * @property label names the kind in metrics
 */
public enum class TrafficKind(public val label: String) {
    HEARTBEAT("heartbeat"),
    MEMBER_QUERY("member_query"),
    MEMBER_LIST("member_list"),
    OPERATION_REQUEST("operation_request"),
    OPERATION_ANSWER("operation_answer"),

    /** Pings, answers to them, and notices that a host leaves. */
    CONNECTION_STATE("connection_state"),
    ;

    public companion object {
        /** The kind of the datagram [message]. */
        public fun of(message: PeerMessage): TrafficKind = when {
            message.query != null -> MEMBER_QUERY
            message.list != null -> MEMBER_LIST
            else -> HEARTBEAT
        }

        /** The kind of [message] on a connection between two hosts. */
        public fun of(message: HostMessage): TrafficKind = when {
            message.request != null -> OPERATION_REQUEST
            message.answer != null || message.part != null -> OPERATION_ANSWER
            else -> CONNECTION_STATE
        }
    }
}
