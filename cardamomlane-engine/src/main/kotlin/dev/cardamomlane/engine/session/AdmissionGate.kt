package dev.cardamomlane.engine.session

import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.engine.config.Customer

/** Decides whether one operation of a customer may run now. */
public fun interface AdmissionGate {
    /** Takes one token of [customer], or says why not; [isRepeated] for an operation that was refused a moment ago. */
    public fun admit(customer: Customer, isRepeated: Boolean): Admission
}
