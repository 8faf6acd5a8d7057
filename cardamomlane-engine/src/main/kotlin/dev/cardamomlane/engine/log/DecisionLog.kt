package dev.cardamomlane.engine.log

/**
 * Takes one structured line a decision. Implementations never block and may drop lines; they tell how many.
 */
public interface DecisionLog {
    /** Records a change of what the process believes; [fields] are names and values in turn. */
    public fun event(part: String, event: String, vararg fields: Any?)

    /** Records a decision on the statement [id] of a caller. */
    public fun request(id: String, event: String, vararg fields: Any?)

    /** Discards everything. */
    public object None : DecisionLog {
        override fun event(part: String, event: String, vararg fields: Any?): Unit = Unit

        override fun request(id: String, event: String, vararg fields: Any?): Unit = Unit
    }
}
