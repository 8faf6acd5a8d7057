package dev.cardamomlane.standin.target

/** The role of a target in its group. */
internal enum class TargetRole {
    PRIMARY,
    REPLICA,
    ;

    /** The value of the `role` column of the control functions. */
    val label: String = name.lowercase()
}
