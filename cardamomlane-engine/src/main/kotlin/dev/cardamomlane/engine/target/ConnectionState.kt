package dev.cardamomlane.engine.target

import dev.cardamomlane.engine.session.SessionState
import dev.cardamomlane.engine.statement.PreparedPlan
import dev.cardamomlane.engine.statement.TargetStatement

/**
 * The session values and prepared plans of one connection to a target, as far as the target has confirmed them.
 *
 * Each plan gets a name of the connection's own, which holds no blank and is not used again, so that an execution runs
 * this plan or none. Beyond a bound, the plans that have not been used for longest are closed.
 */
internal class ConnectionState {
    private val values = HashMap<String, String>()

    /** The names of the prepared plans, the least recently used plan first. */
    private val names = LinkedHashMap<PreparedPlan, String>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var nextNumber = 1L

    /** The number of statements that set the values of [state], or much more when a reset must come first. */
    fun setupCost(state: SessionState): Int =
        if (hasOthers(state)) RESET_COST + state.values.size else missingValues(state).size

    /** The name of a prepared [plan]. */
    fun nameOf(plan: PreparedPlan): String = checkNotNull(names[plan]) { "the plan is not prepared" }

    /**
     * The statements that bring the connection to [state]. Each counts once it is passed to [onSuccess].
     *
     * Session values that are not in [state] are dropped by a reset, which drops the prepared plans too.
     */
    fun stepsTo(state: SessionState): List<TargetStatement> {
        val isReset = hasOthers(state)
        val steps = ArrayList<TargetStatement>()
        if (isReset) steps += TargetStatement.Reset
        val valuesToSet = if (isReset) state.values else missingValues(state)
        valuesToSet.forEach { (name, value) -> steps += TargetStatement.SetValue(name, value) }
        val newPlans = state.plans.distinct().filter { isReset || names[it] == null }
        if (!isReset) steps += closesFor(newPlans, needed = state.plans)
        newPlans.forEach { steps += TargetStatement.Prepare("${nextNumber++}", it) }
        return steps
    }

    /** Records that the target has run [step]. */
    fun onSuccess(step: TargetStatement) {
        when (step) {
            is TargetStatement.Reset -> {
                values.clear()
                names.clear()
            }
            is TargetStatement.SetValue -> values[step.name] = step.value
            is TargetStatement.Prepare -> names[step.plan] = step.name
            is TargetStatement.Close -> names.values.remove(step.name)
            else -> Unit
        }
    }

    private fun hasOthers(state: SessionState): Boolean = values.keys.any { it !in state.values }

    private fun missingValues(state: SessionState): Map<String, String> =
        state.values.filter { (name, value) -> values[name] != value }

    /** Makes room for [newPlans]. The plans that are [needed] stay, even if there is no room. */
    private fun closesFor(newPlans: List<PreparedPlan>, needed: List<PreparedPlan>): List<TargetStatement> {
        var count = names.size + newPlans.size
        var sizeBytes = sizeBytes(names.keys) + sizeBytes(newPlans)
        val closes = ArrayList<TargetStatement>()
        for ((plan, name) in names) {
            if (count <= MAX_PLANS && sizeBytes <= MAX_SHAPE_BYTES) break
            if (plan in needed) continue
            closes += TargetStatement.Close(name)
            count--
            sizeBytes -= plan.shape.length
        }
        return closes
    }

    private fun sizeBytes(plans: Collection<PreparedPlan>): Long = plans.sumOf { it.shape.length.toLong() }

    internal companion object {
        /** The most plans that a connection keeps, and the most bytes of their shapes. */
        const val MAX_PLANS = 64
        const val MAX_SHAPE_BYTES = 1L shl 20

        private const val RESET_COST = 100
        private const val INITIAL_CAPACITY = 16
        private const val LOAD_FACTOR = 0.75f
    }
}
