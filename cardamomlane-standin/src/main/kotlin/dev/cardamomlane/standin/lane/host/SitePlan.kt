package dev.cardamomlane.standin.lane.host

/**
 * The place where a run plays: the availability zones of its hosts and targets, and the pace of its targets.
 *
 * @property region what all availability zones belong to
 * @property hostZones the availability zone of each host; further hosts begin anew
 * @property targetZones the availability zone of each target
 * @property promoteMillis from an accepted promotion to its effect
 * @property lagMillis how far replicas are behind
 * @property maxConnections how many connections a target accepts
 */
internal data class SitePlan(
    val region: String,
    val hostZones: List<String>,
    val targetZones: List<String>,
    val promoteMillis: Long,
    val lagMillis: Long,
    val maxConnections: Int,
) {
    val availabilityZones: List<String> get() = (hostZones + targetZones).distinct()

    companion object {
        /** Eight hosts over four zones, quick promotions, few connections. */
        val PRESS = SitePlan(
            region = "slo",
            hostZones = listOf("kranj", "kranj", "ljubljana", "ljubljana", "ljubljana", "maribor", "maribor", "koper"),
            targetZones = listOf("kranj", "ljubljana", "maribor"),
            promoteMillis = 300,
            lagMillis = 8,
            maxConnections = 34,
        )

        /** Six hosts over three zones, slow promotions. */
        val GUILD = SitePlan(
            region = "tx-central",
            hostZones = listOf("austin-a", "austin-a", "austin-a", "austin-b", "austin-b", "waco-c"),
            targetZones = listOf("austin-a", "austin-b", "waco-c"),
            promoteMillis = 1_000,
            lagMillis = 60,
            maxConnections = 50,
        )
    }
}
