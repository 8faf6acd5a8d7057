package dev.cardamomlane.standin.lane.record

import dev.cardamomlane.standin.lane.target.Commit
import dev.cardamomlane.standin.lane.target.GroupListener
import dev.cardamomlane.standin.lane.target.RunContent
import java.util.concurrent.ConcurrentHashMap

/**
 * What the targets of the database groups did, for the checks of a run, and in its [record]. Safe for use by several threads.
 *
 * @param groupOf returns the name of the group whose log a target holds
 */
internal class GroupHistory(private val record: RunRecord, private val groupOf: (target: String) -> String = { "" }) :
    GroupListener {
    private val begun = ConcurrentHashMap.newKeySet<String>()
    private val late = ConcurrentHashMap.newKeySet<String>()
    private val rolledBack = ConcurrentHashMap.newKeySet<String>()
    private val commitCounts = ConcurrentHashMap<String, Int>()
    private val positions = ConcurrentHashMap<String, CommitPlace>()
    private val runsById = ConcurrentHashMap<String, List<StatementRun>>()
    private val readsById = ConcurrentHashMap<String, List<ReadRun>>()

    /** The statements whose commit was made at a target after another one had been promoted. */
    val lateCommits: Set<String> get() = late.toSet()

    /** The statements whose commit a promotion took out of a log. */
    val rolledBackCommits: Set<String> get() = rolledBack.toSet()

    /** The statements that were committed more than once. */
    val repeatedCommits: Set<String> get() = commitCounts.filterValues { it > 1 }.keys

    /** Returns where the statement [statementId] was committed, or null if it was not. */
    fun placeOf(statementId: String): CommitPlace? = positions[statementId]

    /** Returns the runs of the statement [statementId] that a target ended with success. */
    fun runsOf(statementId: String): List<StatementRun> = runsById[statementId].orEmpty()

    /** Returns all statements that a target ran with success, with their runs. */
    fun runs(): Map<String, List<StatementRun>> = runsById.toMap()

    /** Returns the runs of the read [statementId], several if it was sent to several targets. */
    fun readsOf(statementId: String): List<ReadRun> = readsById[statementId].orEmpty()

    /** Whether a commit of the statement [statementId] was made and not rolled back. */
    fun isKept(statementId: String): Boolean = positions.containsKey(statementId) && statementId !in rolledBack

    /** Whether a target has received the statement [statementId]. */
    fun hasBegun(statementId: String): Boolean = statementId in begun

    override fun onBegun(target: String, statementId: String) {
        begun += statementId
    }

    override fun onRun(target: String, statementId: String, digest: String, content: RunContent) {
        val run = StatementRun(target, digest, record.nowMillis, content)
        runsById.merge(statementId, listOf(run)) { earlier, latest -> earlier + latest }
    }

    override fun onRead(target: String, statementId: String, last: Commit?) {
        val run = ReadRun(target, groupOf(target), last?.position)
        readsById.merge(statementId, listOf(run)) { earlier, latest -> earlier + latest }
    }

    override fun onCommitted(target: String, commit: Commit, isLate: Boolean) {
        positions[commit.statementId] = CommitPlace(groupOf(target), commit.position)
        commitCounts.merge(commit.statementId, 1, Int::plus)
        if (isLate) late += commit.statementId
        val note = if (isLate) ", although another target has been promoted" else ""
        record.line("target $target commits ${commit.statementId} as ${commit.term}.${commit.number}$note")
    }

    override fun onRolledBack(target: String, commit: Commit) {
        rolledBack += commit.statementId
        record.line("target $target rolls back ${commit.statementId} of ${commit.term}.${commit.number}")
    }

    override fun onPromoted(target: String, term: Long) = record.line("target $target leads term $term")

    override fun onEvent(text: String) = record.line(text)
}
