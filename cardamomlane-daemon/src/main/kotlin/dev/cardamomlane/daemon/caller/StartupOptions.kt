package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.LogPosition

/** Reads the `options` startup parameter, in which a caller may give the position that its reads must see. */
internal object StartupOptions {
    private val SETTING = Regex("(?:-c\\s*|--)([\\w.]+)=(\\S+)")

    /** Returns the position in [options], or null if there is none or it is malformed. */
    fun position(options: String?): LogPosition? = SETTING.findAll(options.orEmpty())
        .firstOrNull { it.groupValues[1] == CallerSession.POSITION_PARAMETER }
        ?.let { LogPosition.parse(it.groupValues[2]) }
}
