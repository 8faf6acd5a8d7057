package dev.cardamomlane.standin.target

/** What a target does in its group. */
internal enum class TargetRole {
    PRIMARY,
    REPLICA,
    ;

    /** The name in the status columns. */
    val label: String = name.lowercase()
}
