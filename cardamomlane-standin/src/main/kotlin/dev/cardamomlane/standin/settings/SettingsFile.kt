package dev.cardamomlane.standin.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.SourceLocation

/** Reads the settings file of a stand-in. */
internal object SettingsFile {
    /**
     * Parses [text]. [file] is the file name in findings.
     *
     * Returns one finding for the first unknown key, missing key or wrong type. Without those, returns a finding for
     * every invalid value, all at line 1 and column 1.
     */
    fun parse(file: String, text: String): Either<NonEmptyList<Finding>, StandinSettings> = try {
        val settings = Yaml.default.decodeFromString(StandinSettings.serializer(), text)
        val findings = findProblems(settings).map { Finding(SourceLocation(file, line = 1, column = 1), it) }
        findings.toNonEmptyListOrNull()?.left() ?: settings.right()
    } catch (error: YamlException) {
        nonEmptyListOf(Finding(SourceLocation(file, error.line, error.column), error.message)).left()
    }

    private fun findProblems(settings: StandinSettings): List<String> {
        val targets = settings.databases.flatMap(DatabaseSettings::targets)
        val addresses = listOf(settings.platformAddress, settings.adminAddress) + targets.map(TargetSettings::address)
        val names = targets.map(TargetSettings::name) + settings.databases.map(DatabaseSettings::name)
        return addresses.filter { SocketAddress.parseOrNull(it) == null }.map { "address \"$it\" must be host:port" } +
            names.groupingBy {
                it
            }.eachCount().filterValues { it > 1 }.keys.map { "name \"$it\" is used more than once" } +
            settings.databases.filter { it.targets.isEmpty() }.map { "database ${it.name} has no targets" } +
            settings.databases.flatMap(::negativeTimes) +
            targets.filter {
                it.slots < 1 || it.connections < 1
            }.map { "target ${it.name} needs at least 1 slot and 1 connection" } +
            settings.hosts.filter {
                it.state !in HOST_STATES
            }.map { "host ${it.host} has the unknown state \"${it.state}\"" }
    }

    private fun negativeTimes(database: DatabaseSettings): List<String> = listOf(
        "connectMillis" to database.connectMillis,
        "serviceMillis" to database.serviceMillis,
        "lagMillis" to database.lagMillis,
    ).filter { (_, value) -> value < 0 }.map { (key, value) -> "$key of database ${database.name} is negative: $value" }

    private val HOST_STATES = setOf("LIVE", "LEAVING")
}
