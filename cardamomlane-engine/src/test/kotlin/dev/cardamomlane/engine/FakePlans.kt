package dev.cardamomlane.engine

import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.PreparedPlan

/** What a target runs when a prepared statement is executed. */
data class ExecutedPlan(val plan: PreparedPlan, val arguments: String)

/** The prepared plans of a connection. Reads names as fields of a line, as targets do: only the last field holds blanks. */
class FakePlans {
    private val plans = LinkedHashMap<String, PreparedPlan>()
    private val usedNames = HashSet<String>()

    val names: Set<String> get() = plans.keys

    /** Returns false when the target can't read the statement. Fails when the connection has had the name before. */
    fun prepare(name: String, plan: PreparedPlan): Boolean {
        check(usedNames.add(name)) { "the name $name was used before" }
        val (readName, kind, shape) = "$name ${plan.access} ${plan.shape}".split(' ', limit = 3)
        val access = Access.entries.find { it.name == kind } ?: return false
        plans[readName] = PreparedPlan(access, shape)
        return true
    }

    /** What an execution of [name] runs, or null when the name is unknown. */
    fun find(name: String, arguments: String): ExecutedPlan? {
        val (readName, readArguments) = "$name $arguments".split(' ', limit = 2)
        return plans[readName]?.let { ExecutedPlan(it, readArguments) }
    }

    fun close(name: String) {
        plans.remove(name)
    }

    fun clear() = plans.clear()
}
