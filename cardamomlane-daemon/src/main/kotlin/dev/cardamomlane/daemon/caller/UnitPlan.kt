package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.rules.RuleDecision
import dev.cardamomlane.core.sql.StatementFacts

/**
 * What a unit asks for, over all its statements.
 *
 * @property statements the statement that each frame of the unit refers to, by the index of the frame
 * @property decision the rules' decision, of which the most careful part counts where statements differ
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

    /** Whether the answer must wait until a majority has the unit's writes. */
    fun needsConfirm(transaction: PinnedTransaction?): Boolean = when {
        transaction != null -> commits && (transaction.hasWritten || isWrite)
        begins -> commits && isWrite
        else -> isWrite
    }
}
