package dev.cardamomlane.standin.sql

import dev.cardamomlane.standin.log.RowChange
import dev.cardamomlane.standin.log.TableName
import org.h2.api.Trigger
import java.sql.Clob
import java.sql.Connection

/** Adds each changed row to the [ChangeCapture] of the current thread. The engine creates one trigger per table. */
internal class ChangeTrigger : Trigger {
    private lateinit var table: TableName

    override fun init(
        connection: Connection,
        schema: String,
        trigger: String,
        table: String,
        before: Boolean,
        type: Int,
    ) {
        this.table = TableName(schema, table)
    }

    override fun fire(connection: Connection, oldRow: Array<Any?>?, newRow: Array<Any?>?) {
        val capture = ChangeCapture.ofThread() ?: return
        capture.add(RowChange(table, oldRow?.map(::detach), newRow?.map(::detach)))
    }

    // A Clob is valid only in the engine that created it, but the change is applied in other engines too.
    private fun detach(value: Any?): Any? = if (value is Clob) value.getSubString(1, value.length().toInt()) else value
}
