package dev.cardamomlane.daemon.trace

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context

/**
 * The spans of one unit: `caller` for its whole time, and below it one span for each stage, which are `queue`,
 * `connection` and `target` in that order. A further attempt adds further spans. Neither SQL texts nor keys are
 * recorded.
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

    /** Ends the span of the previous stage, if any, and starts that of the stage [name] for [target]. */
    fun startStage(name: String, target: TargetId) {
        stage?.end()
        stage = tracer.spanBuilder(name)
            .setParent(context)
            .setAttribute("cardamomlane.target", target.value)
            .startSpan()
    }

    /** Ends all spans. [sqlState] is that of the error that the caller got, or null if there was none. */
    fun end(sqlState: String? = null) {
        stage?.end()
        stage = null
        if (sqlState != null) caller.setStatus(StatusCode.ERROR, sqlState)
        caller.end()
    }
}
