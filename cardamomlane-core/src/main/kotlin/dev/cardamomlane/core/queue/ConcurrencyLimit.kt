package dev.cardamomlane.core.queue

/** Decides how many statements this host may run at once on one target. */
public interface ConcurrencyLimit {
    /** The most statements that may run at once now; at least 1. */
    public val limit: Int

    /**
     * Learns from one finished statement.
     *
     * @param serviceMillis from sending the statement to the end of its answer
     * @param runningCount the statements that ran when it finished, itself included
     */
    public fun observe(serviceMillis: Double, runningCount: Int)
}
