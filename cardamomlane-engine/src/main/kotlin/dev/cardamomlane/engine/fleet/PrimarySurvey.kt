package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.DatabaseGroup
import dev.cardamomlane.engine.group.GroupRecord
import dev.cardamomlane.engine.target.StatusQuery
import dev.cardamomlane.engine.target.Target
import dev.cardamomlane.engine.target.TargetStatus

/**
 * Asks the targets of [group] which of them is primary, when the newest [known] record may be too old to tell.
 *
 * A promotion starts a new term at the target, and the others learn it from there. So the primary is the one of the
 * latest term that any target, or the record, knows.
 *
 * Not safe for use by several threads.
 */
internal class PrimarySurvey(val group: DatabaseGroup, private val known: GroupRecord?) {
    private val asked = group.listedTargets
    private var answers: Map<Target, TargetStatus> = emptyMap()

    /** True when every listed target has answered. */
    val hasAll: Boolean get() = answers.size == asked.size

    /** True when more than half of the listed targets have answered. */
    val hasMajority: Boolean get() = answers.size > asked.size / 2

    /** The latest term that a target or the record knows, or 0. */
    val term: Long get() = maxOf(answers.values.maxOfOrNull { it.term } ?: 0, known?.term ?: 0)

    /** The primary, or null when the answers don't show it or a target that is listed as primary has not answered. */
    val primary: Target?
        get() {
            if (asked.any { it.entry.isPrimary && it !in answers }) return null
            return answers.entries.firstOrNull { it.value.isPrimary && it.value.term == term }?.key
        }

    /** True when the newest record, or the list of targets when there is none, names the primary. */
    val isRecordRight: Boolean
        get() = primary != null && primary === group.primary && known?.isChanging != true

    /** Queries every listed target. Calls [done] once, when each has answered or will not answer in time. */
    fun run(done: () -> Unit) {
        StatusQuery.run(asked, checkNotNull(group.controlCustomer) { "no customer to connect as" }) {
            answers = it
            done()
        }
    }
}
