package dev.cardamomlane.engine.fleet

/** How a conditional write ended. */
public sealed interface StoreWrite {
    /** The write is in force as [version]. */
    public data class Applied(val version: Long) : StoreWrite

    /** The row had another version; nothing was written. */
    public data object Conflict : StoreWrite

    /** Nothing was written: the store refused the call. */
    public data class Refused(val reason: String) : StoreWrite

    /** No answer: the write may have been made, or may still be made later. */
    public data class Unknown(val reason: String) : StoreWrite
}
