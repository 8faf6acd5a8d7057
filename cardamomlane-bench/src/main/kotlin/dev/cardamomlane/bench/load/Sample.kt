package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.history.Operation
import dev.cardamomlane.bench.history.OperationKind
import dev.cardamomlane.bench.history.Outcome

/**
 * The result of one arrival.
 *
 * @property latencyMicros from the intended start to the end of the answer
 * @property startMicros when a thread began to send it, from the start of the loop
 * @property detail the error's SQLSTATE, message and detail, or null
 */
internal data class Sample(
    val arrival: Arrival,
    val outcome: Outcome,
    val startMicros: Long,
    val endMicros: Long,
    val detail: String? = null,
) {
    val latencyMicros: Long
        get() = endMicros - arrival.atMicros

    /** Whether the fleet refused it because the customer had used up its rate. */
    val isRateRefusal: Boolean
        get() = detail?.startsWith(RATE_EXCEEDED_STATE) == true

    /** The sample as an operation of a history. */
    fun toOperation(daemons: List<DaemonEndpoint>): Operation = Operation(
        session = arrival.customer.name,
        number = arrival.atMicros,
        daemon = daemons[arrival.daemonIndex].name,
        database = arrival.database,
        customer = arrival.customer.name,
        kind = if (arrival.kind == ArrivalKind.WRITE) OperationKind.INSERT else OperationKind.READ,
        statements = listOf(arrival.statement),
        outcome = outcome,
        startMicros = startMicros,
        endMicros = endMicros,
        detail = detail,
    )

    private companion object {
        const val RATE_EXCEEDED_STATE = "53400"
    }
}
