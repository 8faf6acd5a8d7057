package dev.cardamomlane.standin.sql

/** PostgreSQL functions that the engine lacks. It calls them by reflection. */
internal object SqlFunctions {
    /** The statements that register the functions with an engine. */
    val createStatements: List<String> = listOf("pg_sleep" to "sleep").map { (name, method) ->
        "CREATE ALIAS $name FOR \"${SqlFunctions::class.java.name}.$method\""
    }

    /** Blocks for [seconds]. Throws an exception if the statement is cancelled first. */
    @JvmStatic
    fun sleep(seconds: Double): String {
        StatementCancel.ofThread().sleep((seconds * MILLIS_PER_SECOND).toLong())
        return ""
    }

    private const val MILLIS_PER_SECOND = 1000
}
