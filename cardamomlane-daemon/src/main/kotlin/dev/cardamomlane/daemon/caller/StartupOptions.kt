package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition

/**
 * Reads the `options` startup parameter, in which a caller may give the position that its reads must see, as an earlier
 * session reported it: `TERM:OFFSET@DATABASE`.
 */
internal object StartupOptions {
    private val SETTING = Regex("(?:-c\\s*|--)([\\w.]+)=(\\S+)")

    /**
     * Returns the position in [options] if it is one in the log of [database], or null if there is none or it is
     * malformed. A position without a database, as earlier versions report it, counts as one of [database].
     */
    fun position(options: String?, database: DatabaseId): LogPosition? {
        val text = SETTING.findAll(options.orEmpty())
            .firstOrNull { it.groupValues[1] == CallerSession.POSITION_PARAMETER }?.groupValues?.get(2) ?: return null
        val log = text.substringAfter(LOG_SEPARATOR, database.value)
        return if (log == database.value) LogPosition.parse(text.substringBefore(LOG_SEPARATOR)) else null
    }

    /** The text of [position] in the log of [database], which [StartupOptions.position] reads. */
    fun format(position: LogPosition, database: DatabaseId): String = "$position$LOG_SEPARATOR$database"

    private const val LOG_SEPARATOR = '@'
}
