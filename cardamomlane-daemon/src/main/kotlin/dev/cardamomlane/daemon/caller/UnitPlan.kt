package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.rules.RuleDecision
import dev.cardamomlane.core.sql.StatementFacts

/**
 * What the statements of a unit together need in routing, rate limits, transactions and confirmation.
 *
 * @property statements the statement that each frame of the unit refers to, by the index of the frame
 * @property executed the facts of the statements that the unit runs
 * @property decision the rules' decision; where those on its statements differ, the strictest value of each part
 * @property usesRate whether the unit takes one request of the customer's rate
 * @property unsupportedReason why the unit is refused as unsupported, or null
 */
internal class UnitPlan(
    val statements: List<PreparedStatement?>,
    val executed: List<StatementFacts>,
    val decision: RuleDecision,
    val isWrite: Boolean,
    val usesRate: Boolean,
    val begins: Boolean,
    val beginsReadOnly: Boolean,
    val commits: Boolean,
    val rollsBack: Boolean,
    val unsupportedReason: String?,
) {
    /** Whether the unit leaves a transaction open. */
    val opensTransaction: Boolean get() = begins && !endsTransaction

    /** Whether the unit ends the transaction that it runs in. */
    val endsTransaction: Boolean get() = commits || rollsBack

    /** Whether the unit may be sent again when it is not known to have run. */
    val isRepeatable: Boolean get() = decision.repeatable && !begins && !commits

    /**
     * Whether the answer must wait until a majority of the targets has the unit's writes.
     *
     * @param transaction the transaction that the unit runs in, or null outside one
     */
    fun needsConfirm(transaction: PinnedTransaction?): Boolean = when {
        transaction != null -> commits && (transaction.hasWritten || isWrite)
        begins -> commits && isWrite
        else -> isWrite
    }
}
