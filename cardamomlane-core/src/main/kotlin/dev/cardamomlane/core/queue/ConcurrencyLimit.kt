package dev.cardamomlane.core.queue

/** Decides how many statements this host may run at once on one target. */
public interface ConcurrencyLimit {
    /** The maximum number of statements that may run at once now; at least 1. */
    public val limit: Int

    /**
     * Adjusts the limit to one finished statement.
     *
     * @param serviceMillis the time from sending the statement to the end of its answer
     * @param runningCount how many statements were running when it finished, itself included
     */
    public fun observe(serviceMillis: Double, runningCount: Int)
}
