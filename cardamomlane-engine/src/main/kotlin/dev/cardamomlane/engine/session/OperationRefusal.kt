package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.statement.ErrorCode

/**
 * Why an operation was not started, so that it has not run.
 *
 * @property route the route that it would have used, or null when the configuration has none for it
 * @property endsSession true when the configuration does not allow the session any more
 */
internal class OperationRefusal(
    val code: ErrorCode,
    val text: String,
    val route: Route? = null,
    val endsSession: Boolean = false,
)
