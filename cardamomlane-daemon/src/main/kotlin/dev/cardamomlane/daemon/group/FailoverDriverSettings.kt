package dev.cardamomlane.daemon.group

/**
 * The periods and limits of a [FailoverDriver]. Timeouts count from the sending of the query or command.
 *
 * @property pollMillis how often the targets are polled
 * @property pollSpacingMillis least time between a poll and one that [FailoverDriver.pollSoon] requests
 * @property pollTimeoutMillis when a poll counts as failed
 * @property lateAnswerMillis when the answer to a poll is given up. Must exceed [pollTimeoutMillis], so that a late
 *   answer still counts, because it distinguishes a slow target from a silent one
 * @property probeAfterMillis how long polls must be unanswered before the next one opens a new connection, and least
 *   time between two such polls
 * @property maxProbes how many polls of one target over new connections may wait for an answer at once
 * @property tickMillis how often the failover machine gets a tick event, because time has passed
 * @property commandTimeoutMillis timeout of [TargetControl.fence] and [TargetControl.follow]
 * @property promoteTimeoutMillis timeout of [TargetControl.promote], which may have to replay the log first
 * @property peerTimeoutMillis when the answers of peers are given up
 * @property minimumPositionTimeoutMillis how long the request for the minimum position of a session may take
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
