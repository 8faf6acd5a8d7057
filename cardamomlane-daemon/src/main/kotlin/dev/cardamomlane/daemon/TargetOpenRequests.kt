package dev.cardamomlane.daemon

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.daemon.settings.DatabaseSettings
import dev.cardamomlane.daemon.settings.Settings
import dev.cardamomlane.daemon.settings.TargetSettings
import dev.cardamomlane.wire.OpenRequest
import kotlinx.collections.immutable.persistentMapOf

/** Creates the requests by which this host opens connections to its targets. */
internal class TargetOpenRequests(private val settings: Settings) {
    /** A connection for the statements of callers. */
    fun service(database: DatabaseSettings, target: TargetSettings): OpenRequest =
        request(database, target, SERVICE_APPLICATION)

    /** A connection for the daemon's own queries, which the target does not count towards its connection limit. */
    fun control(database: DatabaseSettings, target: TargetSettings): OpenRequest =
        request(database, target, CONTROL_APPLICATION)

    fun controlByTarget(): Map<TargetId, OpenRequest> = settings.databases
        .flatMap { database -> database.targets.map { it.name to control(database, it) } }
        .toMap()

    fun controlByDatabase(): Map<DatabaseId, List<OpenRequest>> =
        settings.databases.associate { database -> database.name to database.targets.map { control(database, it) } }

    private fun request(database: DatabaseSettings, target: TargetSettings, application: String) = OpenRequest(
        address = target.address,
        user = settings.targetUser.name,
        password = settings.targetUser.password,
        database = database.name.value,
        parameters = persistentMapOf("application_name" to application),
    )

    private companion object {
        const val SERVICE_APPLICATION = "cardamomlane"

        /** The application name by which targets recognize control connections. */
        const val CONTROL_APPLICATION = "cardamomlane-control"
    }
}
