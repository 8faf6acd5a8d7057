package dev.cardamomlane.standin.sql

/** Functions that every engine offers besides its own. The engine calls them by reflection. */
internal object SqlFunctions {
    /** The statements that make the functions known to an engine. */
    val createStatements: List<String> = listOf("pg_sleep" to "sleep").map { (name, method) ->
        "CREATE ALIAS $name FOR \"${SqlFunctions::class.java.name}.$method\""
    }

    /** Sleeps until the time has passed or the statement is cancelled. */
    @JvmStatic
    fun sleep(seconds: Double): String {
        StatementCancel.ofThread().sleep((seconds * MILLIS_PER_SECOND).toLong())
        return ""
    }

    private const val MILLIS_PER_SECOND = 1000
}
