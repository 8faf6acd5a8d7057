package dev.cardamomlane.cli

import dev.cardamomlane.store.ConfigurationHead
import dev.cardamomlane.store.ConfigurationStore
import dev.cardamomlane.store.DynamoPlatformTable
import dev.cardamomlane.store.HttpHostList
import dev.cardamomlane.store.ListedHost
import dev.cardamomlane.store.Revision
import java.net.URI

/** A connection to the platform and to the hosts that it lists. Its functions block. Its creator must close it. */
internal class Connection(settings: ToolSettings) : AutoCloseable {
    private val table = DynamoPlatformTable(settings.platform.dynamo())
    private val hostList = HttpHostList(URI(settings.platform.hostListUrl))
    private val statusClient = StatusClient()
    val store = ConfigurationStore(table)

    fun head(): ConfigurationHead = checkNotNull(store.head().block())

    /** Reads revision [number], or ends the command if there is none. */
    fun revision(number: Long): Revision =
        store.read(number).block() ?: throw CommandFailure(ExitCodes.REFUSED, "There is no revision $number.")

    fun hosts(): List<ListedHost> = checkNotNull(hostList.hosts().block()).sortedBy { it.host }

    /** Asks every listed host for its status. */
    fun statuses(): List<HostStatus> = statusClient.fetchAll(hosts())

    override fun close() {
        table.close()
    }
}
