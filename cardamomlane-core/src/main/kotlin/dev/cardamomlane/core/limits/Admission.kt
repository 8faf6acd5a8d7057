package dev.cardamomlane.core.limits

/** Whether one request of a customer may run now. */
public sealed interface Admission {
    /** The request may run; one token has been taken. */
    public data object Admitted : Admission

    /**
     * The request must not run now; no token has been taken.
     *
     * @property retryAfterMillis how long to wait before another attempt can be admitted
     */
    public data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : Admission {
        init {
            require(retryAfterMillis >= 0) { "retryAfterMillis must not be negative but was $retryAfterMillis" }
        }
    }
}
