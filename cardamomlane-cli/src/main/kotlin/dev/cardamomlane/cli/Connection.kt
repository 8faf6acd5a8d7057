package dev.cardamomlane.cli

import dev.cardamomlane.platform.ConfigurationHead
import dev.cardamomlane.platform.ConfigurationStore
import dev.cardamomlane.platform.DynamoPlatformTable
import dev.cardamomlane.platform.HttpHostList
import dev.cardamomlane.platform.ListedHost
import dev.cardamomlane.platform.Revision
import java.net.URI

/** A connection to the platform and to the hosts that it lists. Its functions block. */
internal class Connection(settings: ToolSettings) : AutoCloseable {
    private val table = DynamoPlatformTable(settings.platform.dynamo())
    private val hostList = HttpHostList(URI(settings.platform.hostListUrl))
    private val statusClient = StatusClient()
    val store = ConfigurationStore(table)

    fun head(): ConfigurationHead = checkNotNull(store.head().block())

    fun revision(number: Long): Revision =
        store.read(number).block() ?: throw CommandFailure(ExitCodes.REFUSED, "There is no revision $number.")

    fun hosts(): List<ListedHost> = checkNotNull(hostList.hosts().block()).sortedBy { it.host }

    fun statuses(): List<HostStatus> = statusClient.ask(hosts())

    override fun close() {
        table.close()
    }
}
