package dev.cardamomlane.engine.session

import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.engine.config.Customer

/** Applies the customers' rates: decides whether one operation of a customer may run now. */
public fun interface AdmissionGate {
    /**
     * Takes one token of [customer]'s rate, or returns the reason of the refusal and when to try again.
     *
     * @param priority the route's; lower numbers are more urgent
     * @param isRepeated true for another try of an operation that was refused before
     */
    public fun admit(customer: Customer, priority: Int, isRepeated: Boolean): Admission
}
