package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.Endpoints
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

/** Keeps open connections between the arrivals of a loop. */
internal class ConnectionStore(private val endpoints: Endpoints) : AutoCloseable {
    private val idle = ConcurrentHashMap<Place, ConcurrentLinkedDeque<CallerConnection>>()

    fun take(arrival: Arrival): CallerConnection = idleAt(arrival).pollFirst()
        ?: CallerConnection.open(endpoints.daemons[arrival.daemonIndex], arrival.database, arrival.customer)

    fun giveBack(arrival: Arrival, connection: CallerConnection) {
        idleAt(arrival).addFirst(connection)
    }

    override fun close() {
        idle.values.flatten().forEach { it.close() }
        idle.clear()
    }

    private fun idleAt(arrival: Arrival): ConcurrentLinkedDeque<CallerConnection> =
        idle.getOrPut(Place(arrival.customer, arrival.database, arrival.daemonIndex)) { ConcurrentLinkedDeque() }

    private data class Place(val customer: CustomerKey, val database: String, val daemonIndex: Int)
}
