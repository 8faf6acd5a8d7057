package dev.cardamomlane.engine.fleet

/** The result of a write to the store. */
public sealed interface StoreWrite {
    /** The row was written, or removed, as [version]. */
    public data class Applied(val version: Long) : StoreWrite

    /** Nothing was written: the row had another version than expected. */
    public data object Conflict : StoreWrite

    /** Nothing was written: the store refused the call. */
    public data class Refused(val reason: String) : StoreWrite

    /** No answer: the write may have been made, or may still be made later. */
    public data class Unknown(val reason: String) : StoreWrite
}
