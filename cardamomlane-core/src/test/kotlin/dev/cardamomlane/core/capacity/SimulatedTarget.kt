package dev.cardamomlane.core.capacity

import kotlin.random.Random

/**
 * A target that shares its speed among what runs: up to [parallelCount] statements run at full speed, and more make each
 * other slower. Statements beyond [slots] wait inside it.
 *
 * @property speed 1 for the normal speed, 0.2 for a fifth of it
 * @property failingPart the part of the statements that it fails at once
 */
internal class SimulatedTarget(var parallelCount: Double, val slots: Int, seed: Int = 1) {
    var speed = 1.0
    var failingPart = 0.0
    private val random = Random(seed)
    private val statements = ArrayList<Running>()
    private val returning = ArrayList<Returning>()

    /** Statements that the target has answered with success. */
    var completedCount = 0
        private set

    /** Runs a statement of [workMillis], plus or minus a fifth. [extraMillis] is added by the path to the caller. */
    fun send(
        workMillis: Double,
        nowMillis: Long,
        extraMillis: Double = 0.0,
        done: (tookMillis: Double, isSuccess: Boolean) -> Unit,
    ) {
        val work = workMillis * (0.8 + 0.4 * random.nextDouble())
        val isFailing = random.nextDouble() < failingPart
        statements += Running(if (isFailing) 0.5 else work, extraMillis, isFailing, nowMillis, done)
    }

    /** Lets one millisecond pass, which ends at [nowMillis]. */
    fun step(nowMillis: Long) {
        val running = statements.take(slots)
        val progress = speed * minOf(1.0, parallelCount / maxOf(1, running.size))
        running.forEach { it.leftMillis -= progress }
        val ended = running.filter { it.leftMillis <= 0 }
        statements.removeAll(ended.toSet())
        completedCount += ended.count { !it.isFailing }
        for (statement in ended) {
            // The rest of a step that a statement did not need is not part of its time.
            val endedAtMillis = nowMillis + statement.leftMillis / progress
            returning += Returning(endedAtMillis + statement.extraMillis, statement)
        }
        val arrived = returning.filter { it.arrivesAtMillis <= nowMillis }
        returning.removeAll(arrived.toSet())
        arrived.forEach { it.statement.done(it.arrivesAtMillis - it.statement.sentAtMillis, !it.statement.isFailing) }
    }

    private class Returning(val arrivesAtMillis: Double, val statement: Running)

    private class Running(
        var leftMillis: Double,
        val extraMillis: Double,
        val isFailing: Boolean,
        val sentAtMillis: Long,
        val done: (Double, Boolean) -> Unit,
    )
}
