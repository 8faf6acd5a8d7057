package dev.cardamomlane.standin.lane.target

/**
 * The transaction of a session, and what it has written so far.
 *
 * @property number among all transactions of its group
 */
internal class SessionTransaction(val number: Int, val isReadOnly: Boolean, private val startTerm: Long) {
    private var written = emptyMap<String, String>()

    /** True after a statement failed: the transaction can only be ended. */
    var isFailed = false

    val values: Map<String, String> get() = written

    fun write(item: String, data: String) {
        written = written + (item to data)
    }

    /** Whether [target] may no longer run statements of this transaction. */
    fun hasLost(target: LaneTarget): Boolean = !isReadOnly && !(target.isPrimary && target.term == startTerm)
}
