@file:OptIn(ExperimentalSerializationApi::class)

package dev.cardamomlane.wire.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/**
 * A message between two hosts of the fleet.
 *
 * The labels of the fields are part of the protocol: a later version may add fields with defaults and must not reuse a
 * label. [PROTOCOL_VERSION] must rise when an older host could misread a message.
 */
@Serializable
public sealed interface PeerMessage {
    /**
     * The first message in each direction of a link.
     *
     * @property nonce random bytes that the other side's [Proof] must cover
     */
    @Serializable
    @SerialName("hello")
    public class Hello(
        @CborLabel(1) public val version: Int,
        @CborLabel(2) public val host: String,
        @CborLabel(3) public val incarnation: Long,
        @CborLabel(4) @ByteString public val nonce: ByteArray,
    ) : PeerMessage

    /** Proves that the sender knows the fleet's secret, by an HMAC that covers both nonces. See [PeerHandshake]. */
    @Serializable
    @SerialName("proof")
    public class Proof(@CborLabel(1) @ByteString public val mac: ByteArray) : PeerMessage

    /** The question of a heartbeat: core's `PeerQuestion`. */
    @Serializable
    @SerialName("q")
    public data class Question(@CborLabel(1) val questionId: Long, @CborLabel(2) val level: Level) : PeerMessage

    /** The answer to a [Question]: core's `PeerAnswer`. */
    @Serializable
    @SerialName("a")
    public class Answer(
        @CborLabel(1) public val questionId: Long,
        @CborLabel(2) public val level: Level,
        @CborLabel(3) public val accepted: Long,
        @CborLabel(4) public val proposed: Long? = null,
        @CborLabel(5) public val record: Record? = null,
        @CborLabel(6) @ByteString public val ages: ByteArray,
        @CborLabel(7) @ByteString public val confirmations: ByteArray,
        @CborLabel(8) public val platformAgeMillis: Long? = null,
    ) : PeerMessage

    /** Asks for the content of a revision. */
    @Serializable
    @SerialName("rev?")
    public data class RevisionRequest(@CborLabel(1) val revision: Long) : PeerMessage

    /** The content of a revision. Keys travel as salted hashes only. */
    @Serializable
    @SerialName("rev")
    public data class RevisionContent(
        @CborLabel(1) val revision: Long,
        @CborLabel(2) val rulesText: String,
        @CborLabel(3) val keys: List<Key>,
    ) : PeerMessage

    /**
     * Asks another member for a loan of a customer's share: core's `ShareMessage.LoanRequest`.
     *
     * @property askId the id of the request: core's `requestId`
     */
    @Serializable
    @SerialName("s?")
    public data class LoanRequest(
        @CborLabel(1) val customer: String,
        @CborLabel(2) val askId: Long,
        @CborLabel(3) val tokens: Double,
        @CborLabel(4) val loanSequence: Long,
        @CborLabel(5) val remaining: Double,
    ) : PeerMessage

    /**
     * Grants a loan of a customer's share: core's `ShareMessage.LoanGrant`.
     *
     * @property askId the id of the request that this message answers: core's `requestId`
     * @property holderRatePerSecond with [holderBurst], the lender's whole share: core's `lenderHolding`
     */
    @Serializable
    @SerialName("s")
    public data class LoanGrant(
        @CborLabel(1) val customer: String,
        @CborLabel(2) val askId: Long,
        @CborLabel(3) val sequence: Long,
        @CborLabel(4) val burst: Double,
        @CborLabel(5) val tokens: Double,
        @CborLabel(6) val termMillis: Long,
        @CborLabel(7) val holderRatePerSecond: Double,
        @CborLabel(8) val holderBurst: Double,
        @CborLabel(9) val retryAfterMillis: Long,
    ) : PeerMessage

    /** Returns a loan before its term ends: core's `ShareMessage.LoanReturn`. */
    @Serializable
    @SerialName("s-")
    public data class LoanReturn(
        @CborLabel(1) val customer: String,
        @CborLabel(2) val sequence: Long,
        @CborLabel(3) val tokens: Double,
    ) : PeerMessage

    /**
     * Requests the receiver's view of a database group.
     *
     * @property askId the id of the request, unique at the sender
     */
    @Serializable
    @SerialName("g?")
    public data class GroupViewRequest(@CborLabel(1) val askId: Long, @CborLabel(2) val database: String) : PeerMessage

    /**
     * The sender's view of a database group: core's `PeerView`. Answers the [GroupViewRequest] with the same [askId].
     *
     * @property reach whether the sender reaches the primary: a name of `PrimaryReach`
     */
    @Serializable
    @SerialName("g")
    public data class GroupViewResponse(
        @CborLabel(1) val askId: Long,
        @CborLabel(2) val database: String,
        @CborLabel(3) val term: Long,
        @CborLabel(4) val primary: String? = null,
        @CborLabel(5) val reach: String,
    ) : PeerMessage

    /** Announces a new term of a database group and its primary. */
    @Serializable
    @SerialName("t")
    public data class TermAnnouncement(
        @CborLabel(1) val database: String,
        @CborLabel(2) val term: Long,
        @CborLabel(3) val primary: String,
    ) : PeerMessage

    /** Forwards a PostgreSQL cancel request to the host that issued its key data. */
    @Serializable
    @SerialName("c")
    public data class CancelForward(@CborLabel(1) val processId: Int, @CborLabel(2) val secretKey: Int) : PeerMessage

    /** How much the sender knows of the fleet's changes: core's `KnowledgeLevel`. */
    @Serializable
    public data class Level(
        @CborLabel(1) val recordVersion: Long,
        @CborLabel(2) val isRecordSettled: Boolean,
        @CborLabel(3) val confirmedRevision: Long,
    )

    /** The members at one version: core's `MemberRecord`. */
    @Serializable
    public data class Record(
        @CborLabel(1) val version: Long,
        @CborLabel(2) val members: List<MemberAddress>,
        @CborLabel(3) val previous: List<MemberAddress>? = null,
    )

    /** One member and the address at which other hosts reach it: core's `Member`. */
    @Serializable
    public data class MemberAddress(
        @CborLabel(1) val host: String,
        @CborLabel(2) val incarnation: Long,
        @CborLabel(3) val peerAddress: String,
    )

    /** One key as it is stored, core's `KeyRecord`: [hash] is salted, and the key itself is never sent. */
    @Serializable
    public data class Key(
        @CborLabel(1) val id: String,
        @CborLabel(2) val customer: String,
        @CborLabel(3) val hash: String,
    )

    /** The version of the protocol. */
    public companion object {
        /** The version that this build uses. A link to a host with another version is refused. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}
