package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.Endpoints
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

/** Keeps idle connections for later arrivals of the same customer, database and daemon. Safe for several threads. */
internal class ConnectionPool(private val endpoints: Endpoints) : AutoCloseable {
    private val idle = ConcurrentHashMap<PoolKey, ConcurrentLinkedDeque<CallerConnection>>()

    fun take(arrival: Arrival): CallerConnection = idleFor(arrival).pollFirst()
        ?: CallerConnection.open(endpoints.daemons[arrival.daemonIndex], arrival.database, arrival.customer)

    fun release(arrival: Arrival, connection: CallerConnection) {
        idleFor(arrival).addFirst(connection)
    }

    override fun close() {
        idle.values.flatten().forEach { it.close() }
        idle.clear()
    }

    private fun idleFor(arrival: Arrival): ConcurrentLinkedDeque<CallerConnection> =
        idle.getOrPut(PoolKey(arrival.customer, arrival.database, arrival.daemonIndex)) { ConcurrentLinkedDeque() }

    private data class PoolKey(val customer: CustomerKey, val database: String, val daemonIndex: Int)
}
