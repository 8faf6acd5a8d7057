package dev.cardamomlane.core.failover

/**
 * The bounds of a [FailoverMachine].
 *
 * @property suspicionMillis how long a primary leaves polls unanswered before it is suspected
 * @property suspicionFailures how many polls must have failed by then
 * @property newConnectionFailures how many of these must have used a connection of their own
 * @property pauseMillis a gap between two ticks that counts as a pause of this process
 * @property askTimeoutMillis how long the answers of peers are waited for
 * @property askRetryMillis when peers are asked again whose answers decided nothing
 * @property staggerMillis the longest delay of a daemon that leaves the first try to a peer
 * @property loneAsks how many questions in a row all peers must leave unanswered before a daemon acts alone
 * @property loneQuietMillis how long replication must have stood still before a daemon without peers acts alone
 * @property claimBoundMillis how long the platform may delay a claim; then the targets' fences alone decide
 * @property commandRetryMillis when a command without an answer is repeated
 * @property fenceGraceMillis how long further fences are waited for after a majority was granted
 * @property fenceTimeoutMillis when an attempt without a fenced majority is given up
 * @property promoteTimeoutMillis when an attempt without an answer to the promotion is given up
 * @property backoffMinMillis the least random delay after a failed attempt
 * @property backoffMaxMillis the greatest random delay after a failed attempt
 * @property headlessMillis how long a majority may be fenced beyond the known term before another attempt heals it
 * @property strayFenceMillis the same for a minority, which costs redundancy but no writes
 * @property stallMillis how long no majority may receive what the primary has written
 * @property handoverDrainMillis how long transactions on a leaving primary may finish before its group is handed over
 * @property repairMillis how often targets that do not follow the primary are told to
 */
public data class FailoverSettings(
    val suspicionMillis: Long = 400,
    val suspicionFailures: Int = 2,
    val newConnectionFailures: Int = 1,
    val pauseMillis: Long = 250,
    val askTimeoutMillis: Long = 150,
    val askRetryMillis: Long = 60,
    val staggerMillis: Long = 200,
    val loneAsks: Int = 3,
    val loneQuietMillis: Long = 400,
    val claimBoundMillis: Long = 300,
    val commandRetryMillis: Long = 150,
    val fenceGraceMillis: Long = 30,
    val fenceTimeoutMillis: Long = 1_000,
    val promoteTimeoutMillis: Long = 5_000,
    val backoffMinMillis: Long = 50,
    val backoffMaxMillis: Long = 400,
    val headlessMillis: Long = 600,
    val strayFenceMillis: Long = 3_000,
    val stallMillis: Long = 3_000,
    val handoverDrainMillis: Long = 1_500,
    val repairMillis: Long = 200,
)
