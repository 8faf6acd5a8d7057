package dev.cardamomlane.standin.session

import dev.cardamomlane.standin.sql.PgType
import dev.cardamomlane.standin.sql.SqlStatement
import dev.cardamomlane.standin.sql.ValueDecoder
import dev.cardamomlane.wire.Column
import dev.cardamomlane.wire.FrontendMessage
import java.sql.Connection
import java.sql.PreparedStatement

/**
 * A statement that the client prepared. Owns the engine's prepared statement, if the engine runs it.
 *
 * @param declaredOids the parameter types that the client declared; 0 or absent leaves a type to the engine
 */
internal class PreparedSql(val statement: SqlStatement, private val declaredOids: List<Int>, connection: Connection) :
    AutoCloseable {
    /** The engine's prepared statement, or null if the session handles the statement without the engine. */
    val engineStatement: PreparedStatement? =
        if (statement.kind.takesSlot) connection.prepareStatement(statement.text) else null

    private val parameterCount: Int = engineStatement?.parameterMetaData?.parameterCount ?: 0

    /** The parameter types: as declared, and otherwise as the engine infers them. */
    val parameterOids: List<Int> by lazy {
        List(parameterCount) { index ->
            declaredOids.getOrElse(index) { 0 }.takeIf { it != 0 } ?: engineOid(index + 1)
        }
    }

    /** The columns of the result in [formats], or null if it has none. */
    fun columns(formats: List<Int>): List<Column>? = engineStatement?.metaData?.let { RowCursor.columns(it, formats) }

    /** Sets the parameters of [bind] on the engine's prepared statement. */
    fun setParameters(bind: FrontendMessage.Bind) {
        val engineStatement = engineStatement ?: return
        bind.parameters.forEachIndexed { index, bytes ->
            val binary = bind.formatOf(index) == 1
            engineStatement.setObject(index + 1, bytes?.let { ValueDecoder.decode(it, oidOf(index, binary), binary) })
        }
    }

    override fun close() {
        engineStatement?.close()
    }

    private fun oidOf(index: Int, binary: Boolean): Int {
        val declared = declaredOids.getOrElse(index) { 0 }
        return if (declared == 0 && binary) parameterOids[index] else declared
    }

    private fun engineOid(index: Int): Int {
        val metaData = engineStatement?.parameterMetaData ?: return PgType.VARCHAR.oid
        return PgType.ofSqlType(metaData.getParameterType(index), metaData.getParameterTypeName(index)).oid
    }

    private fun FrontendMessage.Bind.formatOf(index: Int): Int =
        if (parameterFormats.size == 1) parameterFormats[0] else parameterFormats.getOrElse(index) { 0 }
}
