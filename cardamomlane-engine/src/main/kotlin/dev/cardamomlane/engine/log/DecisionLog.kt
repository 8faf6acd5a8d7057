package dev.cardamomlane.engine.log

/**
 * Receives structured log lines: changes of this host's state, and decisions on statements of callers.
 *
 * Implementations never block. They may drop lines, and then report how many.
 */
public interface DecisionLog {
    /**
     * Logs a change of this host's state or of its view of hosts, targets and the store.
     *
     * @param part the component that logs
     * @param fields names and values in turn
     */
    public fun event(part: String, event: String, vararg fields: Any?)

    /** Logs a decision on the statement [id] of a caller; [fields] are names and values in turn. */
    public fun request(id: String, event: String, vararg fields: Any?)

    /** Discards everything. */
    public object None : DecisionLog {
        override fun event(part: String, event: String, vararg fields: Any?): Unit = Unit

        override fun request(id: String, event: String, vararg fields: Any?): Unit = Unit
    }
}
