package dev.cardamomlane.standin.lane.target

/**
 * What a target ran, and where.
 *
 * @property text of the statement, as it was received
 * @property plan what the prepared name stood for on that connection, or null if the statement names none
 * @property values of the connection's session at that moment
 * @property connection the number of the connection, among all of its group
 * @property transaction the number of the transaction, among all of its group, or null outside of one
 * @property rows that were answered
 */
internal data class RunContent(
    val text: String = "",
    val plan: PreparedPlan? = null,
    val values: Map<String, String> = emptyMap(),
    val connection: Int = 0,
    val transaction: Int? = null,
    val rows: List<String> = emptyList(),
)
