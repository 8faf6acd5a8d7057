package dev.cardamomlane.daemon.trace

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context

/**
 * The spans of one unit: `caller` over all, and below it one stage after the other of `queue`, `connection` and
 * `target`. Neither statements nor keys are recorded.
 */
internal class UnitTrace(private val tracer: Tracer, database: DatabaseId, customer: CustomerId, ruleName: String?) {
    private val caller = tracer.spanBuilder("caller")
        .setNoParent()
        .setAttribute("db.namespace", database.value)
        .setAttribute("cardamomlane.customer", customer.value)
        .setAttribute("cardamomlane.rule", ruleName ?: "none")
        .startSpan()
    private val context = caller.storeInContext(Context.root())
    private var stage: Span? = null

    /** Ends the stage before and starts the stage [name] at [target]. */
    fun startStage(name: String, target: TargetId) {
        stage?.end()
        stage = tracer.spanBuilder(name)
            .setParent(context)
            .setAttribute("cardamomlane.target", target.value)
            .startSpan()
    }

    /** Ends all spans. [sqlState] is the error that the caller got, if any. */
    fun end(sqlState: String? = null) {
        stage?.end()
        stage = null
        if (sqlState != null) caller.setStatus(StatusCode.ERROR, sqlState)
        caller.end()
    }
}
