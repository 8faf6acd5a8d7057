package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.PreparedPlan

/**
 * What a connection must hold before a statement of a session runs on it.
 *
 * @property values the session values, exactly
 * @property needed the plans that must be prepared
 */
public class SessionState(public val values: Map<String, String>, public val needed: List<PreparedPlan>)
