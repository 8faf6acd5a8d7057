package dev.cardamomlane.bench.load

import dev.cardamomlane.bench.CustomerKey
import dev.cardamomlane.bench.DaemonEndpoint
import dev.cardamomlane.bench.history.HistoryRecorder
import dev.cardamomlane.bench.history.Operation
import dev.cardamomlane.bench.history.OperationKind
import dev.cardamomlane.bench.history.Outcome
import java.sql.SQLException
import kotlin.random.Random

/**
 * A caller that writes rows of its own and reads them back. Now and then it reconnects to a random daemon, with the
 * position of its last write or without one.
 *
 * It records each operation and runs on one thread.
 *
 * @param name unique in the run
 * @param seed decides the order of operations and of daemons
 */
internal class RoamingSession(
    private val name: String,
    private val seed: Int,
    private val daemons: List<DaemonEndpoint>,
    private val database: String,
    private val customer: CustomerKey,
    private val recorder: HistoryRecorder,
    private val mix: SessionMix = SessionMix(),
) {
    private val random = Random(seed)
    private var connection: CallerConnection? = null
    private var connectedWithPosition = false
    private var lastPosition: String? = null
    private var nextNumber = 0L

    /** Runs operations until [isStopRequested] and blocks until then. */
    fun run(isStopRequested: () -> Boolean) {
        while (!isStopRequested()) {
            if (random.nextDouble() < mix.roamProbability) disconnect()
            val open = connection ?: connect()
            if (open == null) Thread.sleep(mix.reconnectMillis) else step(open)
            Thread.sleep(random.nextLong(mix.maxPauseMillis + 1))
        }
        disconnect()
    }

    private fun connect(): CallerConnection? {
        val daemon = daemons.random(random)
        connectedWithPosition = random.nextBoolean() && lastPosition != null
        val position = if (connectedWithPosition) lastPosition else null
        return try {
            CallerConnection
                .open(daemon, database, customer, position, simpleQueries = seed % 2 == 0)
                .also { connection = it }
        } catch (_: SQLException) {
            null
        }
    }

    private fun disconnect() {
        connection?.close()
        connection = null
    }

    private fun step(open: CallerConnection) {
        val choice = random.nextDouble()
        when {
            choice < mix.insertFraction -> insert(open)
            choice < mix.insertFraction + mix.transactionFraction -> transaction(open)
            else -> read(open)
        }
    }

    private fun insert(open: CallerConnection) {
        val operation = begin(open, OperationKind.INSERT, statements = listOf("$name.$nextNumber"))
        attempt(open, operation) { NotesStatements.insert(open.jdbc, operation.statements.single(), name) }
    }

    private fun transaction(open: CallerConnection) {
        val statements = listOf("$name.$nextNumber.a", "$name.$nextNumber.b")
        val operation = begin(open, OperationKind.TRANSACTION, statements)
        attempt(open, operation) {
            open.jdbc.autoCommit = false
            statements.forEach { NotesStatements.insert(open.jdbc, it, name) }
            open.jdbc.commit()
            open.jdbc.autoCommit = true
        }
    }

    private fun read(open: CallerConnection) {
        val operation = begin(open, OperationKind.READ, statements = listOf("$name.$nextNumber.echo"))
        attempt(open, operation.copy(readAuthor = name)) {
            val rows = NotesStatements.read(open.jdbc, operation.statements.single(), name)
            ReadAnswer(echo = rows.firstOrNull(), seen = rows.drop(1))
        }
    }

    private fun begin(open: CallerConnection, kind: OperationKind, statements: List<String>): Operation = Operation(
        session = name,
        number = nextNumber++,
        daemon = open.daemon.name,
        database = database,
        customer = customer.name,
        kind = kind,
        statements = statements,
        outcome = Outcome.UNKNOWN,
        startMicros = recorder.nowMicros(),
        endMicros = 0,
        withPosition = connectedWithPosition,
    )

    private fun attempt(open: CallerConnection, operation: Operation, action: () -> Any?) {
        try {
            val answer = action() as? ReadAnswer
            val ended = operation.copy(outcome = Outcome.ACKNOWLEDGED, endMicros = recorder.nowMicros())
            recorder.add(ended.copy(echo = answer?.echo, seen = answer?.seen.orEmpty()))
            open.position?.let { lastPosition = it }
        } catch (exception: SQLException) {
            val failure = Failure.of(exception)
            val ended = operation.copy(outcome = failure.outcome, detail = failure.detail)
            recorder.add(ended.copy(endMicros = recorder.nowMicros()))
            afterFailure(open, failure)
        }
    }

    /** Closes a connection that was lost or is inside a failed transaction, so that it is not used again. */
    private fun afterFailure(open: CallerConnection, failure: Failure) {
        if (failure.connectionLost || !open.jdbc.autoCommit) disconnect()
    }

    private class ReadAnswer(val echo: String?, val seen: List<String>)
}
