package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.PreparedPlan

/**
 * The state that a connection must have before a statement of a session runs on it.
 *
 * @property values the session values by name; the connection must have these and no others
 * @property plans the plans that must be prepared; more may be
 */
public class SessionState(public val values: Map<String, String>, public val plans: List<PreparedPlan>)
