package dev.cardamomlane.core.limits

/** Why a request was refused before it ran. */
public enum class RefusalReason(public val text: String) {
    /** The customer used up its rate and burst on this host and no other host lent any. */
    OVER_RATE("customer is over its rate"),

    /** The customer is over its rate, and the rate goes to its more urgent requests. */
    LESS_URGENT("customer is over its rate, more urgent statements go first"),

    /** This host awaits the answer to a loan request, which usually takes a few milliseconds. */
    BORROWING("share of the rate is being fetched from another host"),

    /**
     * This host may have missed a change: it is not in good standing, as
     * [dev.cardamomlane.core.fleet.FleetMachine.isInStanding] defines it, or its group records may be outdated.
     */
    NOT_IN_STANDING("host is not in good standing"),
}
