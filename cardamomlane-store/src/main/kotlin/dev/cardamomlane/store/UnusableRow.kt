package dev.cardamomlane.store

/** A row that can't be used, with the [reason] in one line. Its key and value are what another program wrote. */
public data class UnusableRow(val key: String, val reason: String) {
    /** The failure of an operation that needs this row. */
    public fun toException(): PlatformUnavailableException =
        PlatformUnavailableException("row $key can't be used: $reason")
}
