package dev.cardamomlane.core.limits

/** Why a request was refused before it ran. */
public enum class RefusalReason(public val text: String) {
    /** The customer used up its rate and burst on this host and no other host lent any. */
    OVER_RATE("customer is over its rate"),

    /** This host awaits the answer to a loan request, which usually takes a few milliseconds. */
    BORROWING("share of the rate is being fetched from another host"),

    /** This host can't prove that its configuration and its shares are current. */
    NOT_IN_STANDING("host is not in good standing"),
}
