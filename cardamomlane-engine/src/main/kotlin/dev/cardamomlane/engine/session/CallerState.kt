package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.statement.PreparedPlan

/** The session values and prepared statements of one caller, up to a bound on their size. */
internal class CallerState {
    private val currentValues = LinkedHashMap<String, String>()
    private val plans = HashMap<String, PreparedPlan>()
    private var sizeBytes = 0L

    /** The session values by name, which later changes leave as they are. */
    val values: Map<String, String> get() = LinkedHashMap(currentValues)

    /** The plan that is prepared as [name], or null when there is none. */
    fun plan(name: String): PreparedPlan? = plans[name]

    /** Sets a session value. Returns false, and changes nothing, when there is no room for it. */
    fun set(name: String, value: String): Boolean {
        if (!resize(currentValues[name]?.let { sizeOf(name, it) }, sizeOf(name, value))) return false
        currentValues[name] = value
        return true
    }

    /** Prepares [plan] as [name], in place of the one before. Returns false, and changes nothing, if there is no room. */
    fun prepare(name: String, plan: PreparedPlan): Boolean {
        if (!resize(plans[name]?.let { sizeOf(name, it.shape) }, sizeOf(name, plan.shape))) return false
        plans[name] = plan
        return true
    }

    /** Drops the statement that is prepared as [name], if there is one. */
    fun close(name: String) {
        val plan = plans.remove(name) ?: return
        sizeBytes -= sizeOf(name, plan.shape)
    }

    /** Takes over all session values of another host's session, which keeps to the bound. */
    fun adopt(newValues: Map<String, String>) {
        currentValues.forEach { (name, value) -> sizeBytes -= sizeOf(name, value) }
        currentValues.clear()
        currentValues.putAll(newValues)
        currentValues.forEach { (name, value) -> sizeBytes += sizeOf(name, value) }
    }

    private fun resize(oldBytes: Long?, newBytes: Long): Boolean {
        val resized = sizeBytes - (oldBytes ?: 0) + newBytes
        if (resized > MAX_BYTES) return false
        sizeBytes = resized
        return true
    }

    private fun sizeOf(name: String, content: String): Long = ENTRY_BYTES + name.length + content.length

    internal companion object {
        /** The most that is kept for a caller; leaves room for the rest of a message between hosts. */
        const val MAX_BYTES = 3L shl 19

        /** What an entry takes beside its characters. */
        private const val ENTRY_BYTES = 128L
    }
}
