package dev.cardamomlane.daemon.group

/**
 * The times of a [FailoverDriver].
 *
 * @property pollMillis how often the targets are polled
 * @property pollSpacingMillis the least time between a poll and one that a session asks for
 * @property pollTimeoutMillis when a poll counts as failed
 * @property lateAnswerMillis when the answer to a poll is given up
 * @property probeAfterMillis how long polls stay unanswered before the next one opens a connection of its own
 * @property maxProbes how many such connections to one target may wait for an answer at once
 * @property tickMillis how often the failover machine hears that time has passed
 * @property commandTimeoutMillis when the answer to a fence or a redirection is given up
 * @property promoteTimeoutMillis the same for a promotion, which may have to replay the log first
 * @property peerTimeoutMillis when the answers of peers are given up
 * @property minimumPositionTimeoutMillis when a session without a position is refused
 */
internal data class FailoverDriverSettings(
    val pollMillis: Long = 100,
    val pollSpacingMillis: Long = 10,
    val pollTimeoutMillis: Long = 200,
    val lateAnswerMillis: Long = 400,
    val probeAfterMillis: Long = 90,
    val maxProbes: Int = 2,
    val tickMillis: Long = 20,
    val commandTimeoutMillis: Long = 500,
    val promoteTimeoutMillis: Long = 5_000,
    val peerTimeoutMillis: Long = 300,
    val minimumPositionTimeoutMillis: Long = 1_000,
)
