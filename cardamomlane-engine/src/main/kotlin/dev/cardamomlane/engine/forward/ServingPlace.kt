package dev.cardamomlane.engine.forward

/** Where an operation runs. */
internal sealed interface ServingPlace {
    /** On this host. */
    data object Here : ServingPlace

    /** On another host, over [connection]. */
    class Remote(val connection: HostConnection) : ServingPlace

    /** Nowhere: no member that could be asked is known to take operations. */
    data object Nowhere : ServingPlace
}
