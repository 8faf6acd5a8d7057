package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.config.Route

/** A statement or transaction that has begun: where it runs, and for whom. */
internal interface Operation {
    val route: Route

    /** The customer that held the caller's key when the operation began, see [CallerSession.ANONYMOUS_CUSTOMER]. */
    val customerName: String
}
