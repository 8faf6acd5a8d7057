package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.ServerError

/** The run-time parameters of one session. Names are case-insensitive. */
internal class SessionSettings(startup: Map<String, String>) {
    private val defaults = LinkedHashMap(BUILT_IN)
    private val values = LinkedHashMap<String, String>()
    private var saved: Map<String, String>? = null

    init {
        startup.forEach { (name, value) -> if (keyOf(name) !in STARTUP_ONLY) defaults[keyOf(name)] = value }
        values += defaults
    }

    /** The parameters that a server reports at startup and after each change. */
    val reported: Map<String, String> get() = REPORTED.associateWith { values.getValue(keyOf(it)) }

    operator fun get(name: String): String? = values[keyOf(name)]

    operator fun set(name: String, value: String) {
        values[keyOf(name)] = value
    }

    /** Sets [name] to its value at startup, or removes it if it had none. */
    fun reset(name: String) {
        defaults[keyOf(name)]?.let { values[keyOf(name)] = it } ?: values.remove(keyOf(name))
    }

    fun resetAll() {
        values.clear()
        values += defaults
    }

    /** Saves the values at the start of a transaction. */
    fun save() {
        saved = LinkedHashMap(values)
    }

    /** Restores the saved values after a rollback. Does nothing if no values are saved. */
    fun restore() {
        val before = saved ?: return
        values.clear()
        values += before
        saved = null
    }

    /** Discards the saved values after a commit. */
    fun discardSaved() {
        saved = null
    }

    /** The spelling under which [name] is reported, or null if its changes are not reported. */
    fun reportedName(name: String): String? = REPORTED.find { it.equals(name, ignoreCase = true) }

    /** The value that SHOW returns. Throws [SqlFailure] for an unknown parameter. */
    fun show(name: String): String =
        get(name) ?: throw SqlFailure(ServerError("42704", "unrecognized configuration parameter \"$name\""))

    /** The statement timeout, or 0 for none. */
    val statementTimeoutMillis: Long get() = millis(get("statement_timeout").orEmpty())

    private fun millis(text: String): Long {
        val number = text.takeWhile(Char::isDigit).toLongOrNull() ?: return 0
        return when (text.dropWhile(Char::isDigit).trim()) {
            "s" -> number * 1_000
            "min" -> number * 60_000
            else -> number
        }
    }

    private companion object {
        /** Startup parameters that are not run-time parameters. */
        val STARTUP_ONLY = setOf("user", "database", "options", "replication")
        val REPORTED = listOf(
            "server_version", "server_encoding", "client_encoding", "application_name", "DateStyle", "IntervalStyle",
            "TimeZone", "integer_datetimes", "standard_conforming_strings", "is_superuser", "session_authorization",
            "in_hot_standby", "default_transaction_read_only",
        )
        val BUILT_IN = mapOf(
            "server_version" to "15.4",
            "server_version_num" to "150004",
            "server_encoding" to "UTF8",
            "client_encoding" to "UTF8",
            "application_name" to "",
            "datestyle" to "ISO, MDY",
            "intervalstyle" to "postgres",
            "timezone" to "UTC",
            "integer_datetimes" to "on",
            "standard_conforming_strings" to "on",
            "is_superuser" to "off",
            "session_authorization" to "",
            "in_hot_standby" to "off",
            "default_transaction_read_only" to "off",
            "default_transaction_isolation" to "read committed",
            "transaction_isolation" to "read committed",
            "transaction_read_only" to "off",
            "extra_float_digits" to "1",
            "search_path" to "\"\$user\", public",
            "statement_timeout" to "0",
            "lock_timeout" to "0",
            "max_identifier_length" to "63",
            "bytea_output" to "hex",
        )

        fun keyOf(name: String) = name.lowercase()
    }
}
