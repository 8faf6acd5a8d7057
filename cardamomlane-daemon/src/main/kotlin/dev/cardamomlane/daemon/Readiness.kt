package dev.cardamomlane.daemon

/** Whether the balancer may send callers here, and if not, why. */
internal sealed interface Readiness {
    data object Ready : Readiness

    data class NotReady(val reason: String) : Readiness
}
