package dev.cardamomlane.engine.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.ShareMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A [ShareMessage] as it travels. Fields that a kind does not use are zero. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class ShareNote(
    val kind: Int,
    val customer: String,
    val askId: Long = 0,
    val tokens: Double = 0.0,
    val sequence: Long = 0,
    val remaining: Double = 0.0,
    val burst: Double = 0.0,
    val termMillis: Long = 0,
    val holdingRate: Double = 0.0,
    val holdingBurst: Double = 0.0,
    val retryAfterMillis: Long = 0,
) {
    /** The message, or null when its kind is unknown. */
    public fun message(): ShareMessage? = when (kind) {
        ASK -> ShareMessage.Ask(CustomerId(customer), askId, tokens, sequence, remaining)
        LEND -> ShareMessage.Lend(
            customer = CustomerId(customer),
            askId = askId,
            sequence = sequence,
            burst = burst,
            tokens = tokens,
            termMillis = termMillis,
            lenderHolding = Allowance(holdingRate, holdingBurst),
            retryAfterMillis = retryAfterMillis,
        )
        RETURN -> ShareMessage.Return(CustomerId(customer), sequence, tokens)
        else -> null
    }

    public companion object {
        private const val ASK = 1
        private const val LEND = 2
        private const val RETURN = 3

        /** The note that carries [message]. */
        public fun of(message: ShareMessage): ShareNote = when (message) {
            is ShareMessage.Ask -> ShareNote(
                kind = ASK,
                customer = message.customer.value,
                askId = message.askId,
                tokens = message.tokens,
                sequence = message.loanSequence,
                remaining = message.remaining,
            )
            is ShareMessage.Lend -> ShareNote(
                kind = LEND,
                customer = message.customer.value,
                askId = message.askId,
                tokens = message.tokens,
                sequence = message.sequence,
                burst = message.burst,
                termMillis = message.termMillis,
                holdingRate = message.lenderHolding.ratePerSecond,
                holdingBurst = message.lenderHolding.burst,
                retryAfterMillis = message.retryAfterMillis,
            )
            is ShareMessage.Return -> ShareNote(
                kind = RETURN,
                customer = message.customer.value,
                tokens = message.tokens,
                sequence = message.sequence,
            )
        }
    }
}
