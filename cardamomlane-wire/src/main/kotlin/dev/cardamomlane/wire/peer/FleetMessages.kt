package dev.cardamomlane.wire.peer

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.fleet.KnowledgeLevel
import dev.cardamomlane.core.fleet.Member
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.fleet.MemberRecord
import dev.cardamomlane.core.fleet.PeerAnswer
import dev.cardamomlane.core.fleet.PeerQuestion
import dev.cardamomlane.core.fleet.RevisionHead
import dev.cardamomlane.core.keys.KeyId
import dev.cardamomlane.core.keys.KeyRecord
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.ShareMessage
import dev.cardamomlane.core.rules.RuleSet
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Converts the messages of core's fleet and limits to peer messages and back.
 *
 * Peers may run another version or be broken: each function that decodes throws [IllegalArgumentException] if a value
 * is out of range, before anything of the message is used.
 */
public object FleetMessages {
    /** Encodes the question of a heartbeat. */
    public fun of(question: PeerQuestion): PeerMessage.Question =
        PeerMessage.Question(question.questionId, level(question.level))

    /** Decodes the question of a heartbeat. */
    public fun question(message: PeerMessage.Question): PeerQuestion =
        PeerQuestion(message.questionId, level(message.level))

    /** Encodes the answer of a heartbeat. */
    public fun of(answer: PeerAnswer): PeerMessage.Answer = PeerMessage.Answer(
        questionId = answer.questionId,
        level = level(answer.level),
        accepted = answer.head.accepted,
        proposed = answer.head.proposed,
        record = answer.record?.let(::record),
        ages = answer.ages,
        confirmations = answer.confirmations,
        platformAgeMillis = answer.platformAgeMillis,
    )

    /** Decodes the answer of a heartbeat. */
    public fun answer(message: PeerMessage.Answer): PeerAnswer = PeerAnswer(
        questionId = message.questionId,
        level = level(message.level),
        head = RevisionHead(message.accepted, message.proposed),
        record = message.record?.let(::record),
        ages = message.ages,
        confirmations = message.confirmations,
        platformAgeMillis = message.platformAgeMillis,
    )

    /** Encodes a message about a loan of share. */
    public fun of(message: ShareMessage): PeerMessage = when (message) {
        is ShareMessage.LoanRequest -> PeerMessage.LoanRequest(
            message.customer.value,
            message.requestId,
            message.tokens,
            message.loanSequence,
            message.remaining,
        )
        is ShareMessage.LoanGrant -> PeerMessage.LoanGrant(
            customer = message.customer.value,
            askId = message.requestId,
            sequence = message.sequence,
            burst = message.burst,
            tokens = message.tokens,
            termMillis = message.termMillis,
            holderRatePerSecond = message.lenderHolding.ratePerSecond,
            holderBurst = message.lenderHolding.burst,
            retryAfterMillis = message.retryAfterMillis,
        )
        is ShareMessage.LoanReturn -> PeerMessage.LoanReturn(message.customer.value, message.sequence, message.tokens)
    }

    /** Decodes a loan request. */
    public fun share(message: PeerMessage.LoanRequest): ShareMessage = ShareMessage.LoanRequest(
        CustomerId(message.customer),
        message.askId,
        tokens("tokens", message.tokens),
        message.loanSequence,
        tokens("remaining", message.remaining),
    )

    /** Decodes a loan grant. */
    public fun share(message: PeerMessage.LoanGrant): ShareMessage = ShareMessage.LoanGrant(
        customer = CustomerId(message.customer),
        requestId = message.askId,
        sequence = message.sequence,
        burst = tokens("burst", message.burst),
        tokens = tokens("tokens", message.tokens),
        termMillis = termMillis(message.termMillis),
        lenderHolding = Allowance(
            tokens("holderRatePerSecond", message.holderRatePerSecond),
            tokens("holderBurst", message.holderBurst),
        ),
        retryAfterMillis = message.retryAfterMillis,
    )

    /** Decodes the return of a loan. */
    public fun share(message: PeerMessage.LoanReturn): ShareMessage =
        ShareMessage.LoanReturn(CustomerId(message.customer), message.sequence, tokens("tokens", message.tokens))

    /** Encodes the content of a revision. */
    public fun of(configuration: Configuration): PeerMessage.RevisionContent = PeerMessage.RevisionContent(
        configuration.revision,
        configuration.rulesText,
        configuration.keys.records.map { PeerMessage.Key(it.id.value, it.customer.value, it.hash) },
    )

    /** Decodes the content of a revision, or returns null if its rules can't be parsed. */
    public fun configuration(message: PeerMessage.RevisionContent): Configuration? {
        val rules = RuleSet.parse("revision ${message.revision}", message.rulesText).getOrNull() ?: return null
        val keys = message.keys.map { KeyRecord(KeyId(it.id), CustomerId(it.customer), it.hash) }
        return Configuration(message.revision, rules, message.rulesText, KeyRing(keys))
    }

    private fun tokens(name: String, value: Double): Double {
        require(value in 0.0..MAX_TOKENS) { "$name must be from 0 to $MAX_TOKENS but was $value" }
        return value
    }

    private fun termMillis(value: Long): Long {
        require(value in 0..MAX_TERM_MILLIS) { "termMillis must be from 0 to $MAX_TERM_MILLIS but was $value" }
        return value
    }

    private fun level(level: KnowledgeLevel) =
        PeerMessage.Level(level.recordVersion, level.isRecordSettled, level.confirmedRevision)

    private fun level(level: PeerMessage.Level) =
        KnowledgeLevel(level.recordVersion, level.isRecordSettled, level.confirmedRevision)

    private fun record(record: MemberRecord) =
        PeerMessage.Record(record.version, addresses(record.members), record.previous?.let(::addresses))

    private fun record(record: PeerMessage.Record) =
        MemberRecord(record.version, members(record.members), record.previous?.let(::members))

    private fun addresses(members: List<Member>): List<PeerMessage.MemberAddress> =
        members.map { PeerMessage.MemberAddress(it.id.host.value, it.id.incarnation, it.peerAddress) }

    private fun members(members: List<PeerMessage.MemberAddress>): ImmutableList<Member> =
        members.map { Member(MemberId(HostId(it.host), it.incarnation), it.peerAddress) }.toImmutableList()

    /** Above the largest rate per second and burst that a rule file can give. */
    private const val MAX_TOKENS = 1e9

    /** Far above the term of any loan. */
    private const val MAX_TERM_MILLIS = 86_400_000L
}
