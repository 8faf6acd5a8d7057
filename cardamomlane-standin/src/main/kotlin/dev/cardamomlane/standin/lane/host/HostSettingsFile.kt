package dev.cardamomlane.standin.lane.host

import dev.cardamomlane.standin.settings.SocketAddress

/**
 * The settings file of a host. Its text, but for addresses and names, stands in the resource [TEMPLATE].
 *
 * @param store the address of the platform's store
 * @param promotion the address of the platform's promote call
 */
internal class HostSettingsFile(
    private val store: SocketAddress,
    private val promotion: SocketAddress,
    private val site: SitePlan,
    private val hosts: List<HostPlan>,
) {
    private val template = checkNotNull(javaClass.getResource(TEMPLATE)) { "resource $TEMPLATE is missing" }.readText()

    /** Returns the text for [host]. */
    fun text(host: HostPlan): String {
        val values = mapOf(
            "name" to host.name,
            "address" to host.address,
            "zone" to host.availabilityZone,
            "region" to site.region,
            "zones" to site.availabilityZones.joinToString("\n") { "zones.$it=${site.region}" },
            "caller" to host.callerAddress,
            "ready" to host.readyAddress,
            "control" to host.controlAddress,
            "peerPorts" to "${host.peerPorts.first},${host.peerPorts.last}",
            "seeds" to hosts.take(MAX_SEEDS).joinToString(",") { it.controlAddress.toString() },
            "store" to store,
            "promotion" to promotion,
        )
        return PLACEHOLDER.replace(template) { values.getValue(it.groupValues[1]).toString() }
    }

    private companion object {
        const val TEMPLATE = "/lane/host-settings.conf"
        const val MAX_SEEDS = 3
        val PLACEHOLDER = Regex("""\{(\w+)}""")
    }
}
