package dev.cardamomlane.cli

internal object ExitCodes {
    const val OK = 0

    /** The rule file has findings or differs, an edit conflicts, or a name or number on the command line is unknown. */
    const val REFUSED = 1

    /** The command line or the settings are wrong. */
    const val USAGE = 2

    /** The platform gave no answer. */
    const val UNAVAILABLE = 3

    /** The change was written, but was not in force on every live host within the time to wait. */
    const val NOT_IN_FORCE = 4
}
