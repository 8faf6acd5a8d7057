package dev.cardamomlane.cli

internal object ExitCodes {
    const val OK = 0

    /** The rule file has findings, an edit conflicts, or what was named does not exist. */
    const val REFUSED = 1

    /** The command line or the settings are wrong. */
    const val USAGE = 2

    /** The platform gave no answer. */
    const val UNAVAILABLE = 3

    /** The change was written, but was not in force everywhere within the time to wait. */
    const val NOT_IN_FORCE = 4
}
