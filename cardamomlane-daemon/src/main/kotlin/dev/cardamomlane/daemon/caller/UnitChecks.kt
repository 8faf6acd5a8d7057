package dev.cardamomlane.daemon.caller

import dev.cardamomlane.wire.ServerError

/** The checks that every unit passes before anything is sent to a target, also inside a transaction. */
internal object UnitChecks {
    /** Returns the error with which the unit is refused, or null if it may run. */
    fun refusal(session: CallerSession, plan: UnitPlan): ServerError? {
        val gate = session.services.gate
        val configuration = gate.configuration() ?: return Refusals.notReady()
        if (!gate.inStanding()) return Refusals.notInGoodStanding()
        val key = session.identity.key
        if (key != null && !configuration.keys.isGranted(session.identity.customer, key)) return Refusals.invalidKey()
        if (key == null && !plan.decision.open) return Refusals.keyRequired()
        if (session.isAborted) return Refusals.aborted()
        return plan.unsupportedReason?.let { Refusals.unsupported(it) }
    }
}
