package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.session.LogCommit
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A message on a connection between two hosts. At most one of [request], [answer] and [part] is set.
 *
 * @property ping asks for a message with [pong] set, to see whether the connection still carries messages
 * @property isLeaving true when the sender takes no new operations
 * @property refusedByHintCount with a [request] that starts an operation, how many operations of the same customer and
 *   priority the sender has refused by a hint since the last one
 * @property hint with an [answer] or its last [part], how many operations of the same customer and priority to send; null for all
 * @property part a part of an answer that is too long for one message
 * @property commits with a [request] that starts an operation, the own commits of the session that it is from, one a log
 * @property namesGroup with a [request] that starts an operation, true when the sender goes by an older configuration than the
 *   one that the start names, so that the answer has to say to which group it has committed
 * @property committedTo with an [answer] or its last [part], the group in whose log it acknowledges a commit, at its position;
 *   null where sender and member go by the same configuration
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class HostMessage(
    @CborLabel(1) val request: OperationRequest? = null,
    @CborLabel(2) val answer: OperationAnswer? = null,
    @CborLabel(3) val ping: Boolean = false,
    @CborLabel(4) val pong: Boolean = false,
    @CborLabel(5) val isLeaving: Boolean = false,
    @CborLabel(6) val refusedByHintCount: Int = 0,
    @CborLabel(7) val hint: SendHint? = null,
    @CborLabel(8) val part: AnswerPart? = null,
    @CborLabel(9) val commits: List<LogCommit> = emptyList(),
    @CborLabel(10) val committedTo: DatabaseId? = null,
    @CborLabel(11) val namesGroup: Boolean = false,
)
