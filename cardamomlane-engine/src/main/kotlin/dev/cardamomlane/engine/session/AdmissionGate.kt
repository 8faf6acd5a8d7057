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

    /** The fraction of [customer]'s operations of [priority] that other hosts should forward here now. */
    public fun sendFraction(customer: Customer, priority: Int): Double = 1.0

    /** Counts [count] operations of [customer] that another host refused on the advice of [sendFraction]. */
    public fun onRefusedElsewhere(customer: Customer, priority: Int, count: Int): Unit = Unit
}
