package dev.cardamomlane.bench.history

/**
 * An invariant that does not hold in a history.
 *
 * @property check the name of the check that found it
 * @property operations the operations that show it
 */
internal data class Violation(val check: String, val message: String, val operations: List<Operation>) {
    override fun toString(): String = "$check: $message" + operations.take(MAX_SHOWN).joinToString("") { "\n    $it" }

    private companion object {
        const val MAX_SHOWN = 4
    }
}
