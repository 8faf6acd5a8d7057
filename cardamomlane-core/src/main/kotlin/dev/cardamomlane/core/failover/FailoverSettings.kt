package dev.cardamomlane.core.failover

/**
 * The timeouts and limits of a [FailoverMachine].
 *
 * @property suspicionMillis how long the primary must leave polls unanswered before it is suspected
 * @property suspicionFailures how many polls must have failed since the primary's last answer before it is suspected
 * @property newConnectionFailures how many of these polls must have failed on a new connection
 * @property pauseMillis a longer gap between two events counts as a pause of this process; polls that are unanswered
 *   then count towards a suspicion only from the end of the pause
 * @property queryTimeoutMillis how long to wait for the answers of peers
 * @property queryRetryMillis the least time before peers are queried again when their answers decided nothing
 * @property staggerMillis bound of the random delay before a term is claimed, so that daemons don't claim at the same
 *   time. After a peer confirmed a suspicion, the daemon with the lowest rank doesn't wait, and the others wait for
 *   half of the bound in addition
 * @property unansweredQueryLimit how many queries in a row all peers must leave unanswered before a daemon acts without
 *   their confirmation
 * @property replicationIdleMillis how long replication must have made no progress before a daemon acts without the
 *   confirmation of a peer
 * @property claimTimeoutMillis how long to wait for the platform's answer to a claim; after that the targets' fences
 *   alone decide
 * @property commandRetryMillis how often an unanswered fence or promotion is repeated
 * @property fenceGraceMillis how long to wait for the fences of further reachable targets after a majority is fenced
 * @property fenceTimeoutMillis when an attempt that has not fenced a majority is abandoned
 * @property promoteTimeoutMillis when an attempt whose promotion is not answered is abandoned
 * @property backoffMinMillis the lower bound of the random delay after a failed attempt
 * @property backoffMaxMillis the upper bound of the random delay after a failed attempt, exclusive
 * @property headlessMillis how long a majority may be fenced above the known term, or the primary may be without its
 *   role, before another attempt starts
 * @property strayFenceMillis how long a minority may be fenced above the known term before another attempt starts; the
 *   group has less redundancy meanwhile, but still accepts writes
 * @property stallMillis how long a majority may receive nothing more while the primary's log is longer
 * @property handoverDrainMillis how long transactions on a leaving primary may finish before another target is promoted
 * @property followRetryMillis how often a target that does not follow the primary is sent the command to follow it
 */
public data class FailoverSettings(
    val suspicionMillis: Long = 400,
    val suspicionFailures: Int = 2,
    val newConnectionFailures: Int = 1,
    val pauseMillis: Long = 250,
    val queryTimeoutMillis: Long = 150,
    val queryRetryMillis: Long = 60,
    val staggerMillis: Long = 200,
    val unansweredQueryLimit: Int = 3,
    val replicationIdleMillis: Long = 400,
    val claimTimeoutMillis: Long = 300,
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
    val followRetryMillis: Long = 200,
)
