package dev.cardamomlane.engine.fleet

/** The result of a write to the store. */
public sealed interface StoreWrite {
    /** The row was written, or removed, at [position]. */
    public data class Applied(val position: StorePosition) : StoreWrite

    /**
     * Nothing was written: the row had another version than expected, namely [foundVersion]; 0 when there was no row,
     * and [UNKNOWN_VERSION] when the store did not say.
     */
    public data class Conflict(val foundVersion: Long) : StoreWrite {
        public companion object {
            public const val UNKNOWN_VERSION: Long = -1
        }
    }

    /** Nothing was written: the store refused the call. */
    public data class Refused(val reason: String) : StoreWrite

    /** No answer: the write may have been made, or may still be made later. */
    public data class Unknown(val reason: String) : StoreWrite
}
