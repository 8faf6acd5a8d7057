package dev.cardamomlane.standin.lane.store

/** The query parameters of a call. */
internal class CallQuery(private val parameters: Map<String, List<String>>) {
    /** Returns the parameter [name], or null if it is missing. */
    fun textOrNull(name: String): String? = parameters[name]?.firstOrNull()

    /** Returns the parameter [name], or an empty text if it is missing. */
    fun text(name: String): String = textOrNull(name).orEmpty()

    /** Returns the parameter [name], or [default] if it is missing or no number. */
    fun number(name: String, default: Long): Long = textOrNull(name)?.toLongOrNull() ?: default
}
