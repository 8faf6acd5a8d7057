package dev.cardamomlane.cli

import arrow.core.Either
import arrow.core.getOrElse
import dev.cardamomlane.core.keys.KeyRecord
import dev.cardamomlane.store.ConfigurationHead
import dev.cardamomlane.store.Draft
import dev.cardamomlane.store.ProposalRefusal
import kotlinx.collections.immutable.toImmutableList

/** Proposes revisions that contain the edits of one operator. */
internal class RevisionEditor(private val connection: Connection) {
    private val author = System.getProperty("user.name") ?: "unknown"

    /**
     * Proposes [rulesText] with the keys in force and returns the number of the proposal. The command ends with a
     * conflict if the rules in force differ from those of [basedOn], or if another proposal came first.
     *
     * @param basedOn the revision that was edited; null for the one in force
     * @param supersede true to replace a revision that is proposed but not yet accepted
     */
    fun applyRules(rulesText: String, basedOn: Long?, supersede: Boolean): Long {
        val head = connection.head()
        val base = basedOn ?: head.accepted
        val accepted = connection.revision(head.accepted)
        if (base != head.accepted && connection.revision(base).rulesText != accepted.rulesText) {
            throw conflict(base, head.accepted, rulesText)
        }
        val draft = Draft(rulesText, accepted.keys, author)
        return propose(head, draft, head.proposed.takeIf { supersede }).getOrElse { throw refused(it, base, rulesText) }
    }

    /**
     * Proposes the keys that [change] returns for the keys in force, with the rules in force. Returns the number of the
     * proposal. If another proposal comes first, tries again until [deadlineNanos], a time of [System.nanoTime].
     */
    fun changeKeys(deadlineNanos: Long, change: (List<KeyRecord>) -> List<KeyRecord>): Long {
        while (true) {
            val head = connection.head()
            val accepted = connection.revision(head.accepted)
            val keys = change(accepted.keys).toImmutableList()
            val outcome = propose(head, Draft(accepted.rulesText, keys, author), superseding = null)
            val refusal = outcome.leftOrNull() ?: return outcome.getOrElse { error("not reached: $it") }
            if (refusal is ProposalRefusal.TooLarge || System.nanoTime() > deadlineNanos) {
                throw refused(refusal, head.accepted, accepted.rulesText)
            }
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun propose(head: ConfigurationHead, draft: Draft, superseding: Long?): Either<ProposalRefusal, Long> =
        checkNotNull(connection.store.propose(head.accepted, draft, superseding).block())

    private fun refused(refusal: ProposalRefusal, base: Long, rulesText: String): CommandFailure = when (refusal) {
        is ProposalRefusal.OutdatedBase -> conflict(base, refusal.head.accepted, rulesText)
        is ProposalRefusal.PendingProposal -> conflict(base, refusal.number, rulesText)
        is ProposalRefusal.TooLarge ->
            CommandFailure(
                ExitCodes.REFUSED,
                "The revision takes ${refusal.bytes} bytes, more than the platform stores.",
            )
    }

    private fun conflict(base: Long, other: Long, rulesText: String): CommandFailure {
        val baseText = connection.revision(base).rulesText
        val theirs = connection.revision(other)
        val lines =
            listOf(
                "Revision $other by ${theirs.author} came first. Nothing was written.",
                "Its changes to revision $base:",
            ) +
                changes(baseText, theirs.rulesText) + "Your changes to revision $base:" + changes(baseText, rulesText)
        return CommandFailure(ExitCodes.REFUSED, lines.joinToString("\n"))
    }

    private fun changes(old: String, new: String) = LineDiff.between(old, new).ifEmpty { listOf("  none in the rules") }

    private companion object {
        const val RETRY_MILLIS = 100L
    }
}
