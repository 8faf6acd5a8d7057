package dev.cardamomlane.core.limits

/** The answer to whether one request of a customer may run now. */
public sealed interface Admission {
    /** The request may run; one token has been taken. */
    public data object Admitted : Admission

    /**
     * The request does not run and has taken no token.
     *
     * @property retryAfterMillis the earliest time at which another attempt can be admitted
     */
    public data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : Admission {
        init {
            require(retryAfterMillis >= 0) { "retryAfterMillis must not be negative but was $retryAfterMillis" }
        }
    }
}
