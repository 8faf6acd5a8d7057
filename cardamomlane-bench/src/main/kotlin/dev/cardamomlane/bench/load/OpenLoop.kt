package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.Endpoints
import dev.cardamomlane.bench.history.Outcome
import java.sql.SQLException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/**
 * Sends arrivals at their times whether or not earlier ones have been answered.
 *
 * Each customer has threads of its own, so that one customer's late answers do not hold up another's arrivals. The
 * time for which an arrival waits for a thread is part of its latency.
 */
internal class OpenLoop(endpoints: Endpoints, private val threadsPerCustomer: Int = 24) {
    private val connections = ConnectionPool(endpoints)

    /** Sends [arrivals], which are in order of time, and blocks until all have ended. */
    fun run(arrivals: List<Arrival>): List<Sample> {
        val samples = ConcurrentLinkedQueue<Sample>()
        val executors = arrivals.map {
            it.customer
        }.distinct().associateWith { Executors.newFixedThreadPool(threadsPerCustomer) }
        val startNanos = System.nanoTime()
        for (arrival in arrivals) {
            sleepUntil(startNanos + arrival.atMicros * 1_000)
            executors.getValue(arrival.customer).execute { samples += send(arrival, startNanos) }
        }
        executors.values.forEach(::awaitEnd)
        connections.close()
        return samples.toList()
    }

    private fun send(arrival: Arrival, startNanos: Long): Sample {
        val sentMicros = microsSince(startNanos)
        return try {
            val connection = connections.take(arrival)
            val failure = execute(arrival, connection)
            if (failure?.connectionLost == true) connection.close() else connections.release(arrival, connection)
            sample(arrival, sentMicros, startNanos, failure)
        } catch (exception: SQLException) {
            sample(arrival, sentMicros, startNanos, Failure.of(exception))
        }
    }

    private fun execute(arrival: Arrival, connection: CallerConnection): Failure? = try {
        when (arrival.kind) {
            ArrivalKind.WRITE -> NotesStatements.insert(
                connection.jdbc,
                arrival.statement,
                author = arrival.customer.name,
            )
            ArrivalKind.READ -> NotesStatements.readOne(connection.jdbc, arrival.statement)
        }
        null
    } catch (exception: SQLException) {
        Failure.of(exception)
    }

    private fun sample(arrival: Arrival, sentMicros: Long, startNanos: Long, failure: Failure?): Sample =
        Sample(arrival, failure?.outcome ?: Outcome.ACKNOWLEDGED, sentMicros, microsSince(startNanos), failure?.detail)

    private fun awaitEnd(executor: ExecutorService) {
        executor.shutdown()
        check(executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            "statements did not end in $STOP_TIMEOUT_SECONDS s"
        }
    }

    private fun sleepUntil(nanos: Long) {
        while (true) {
            val leftNanos = nanos - System.nanoTime()
            if (leftNanos <= 0) return
            LockSupport.parkNanos(leftNanos)
        }
    }

    private fun microsSince(nanos: Long): Long = (System.nanoTime() - nanos) / 1_000

    private companion object {
        const val STOP_TIMEOUT_SECONDS = 60L
    }
}
