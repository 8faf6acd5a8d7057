package dev.cardamomlane.daemon

/** Whether the load balancer may send callers to this host, and if not, why. */
internal sealed interface Readiness {
    data object Ready : Readiness

    data class NotReady(val reason: String) : Readiness
}
