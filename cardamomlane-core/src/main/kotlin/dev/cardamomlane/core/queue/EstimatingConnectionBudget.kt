package dev.cardamomlane.core.queue

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * A [ConnectionBudget] that estimates from the mean time for which connections are held how long a request would wait
 * for one, and compares that with the time to open another.
 *
 * @param share how many connections this host may have until [setShare] changes it
 * @param openMillis the expected time to open a connection
 * @param keepIdleMillis how long an unused connection stays open
 * @param retryMillis the wait after a failure to open, doubled for each further failure in a row up to 32 times as long
 */
public class EstimatingConnectionBudget(
    private var share: Int,
    private val openMillis: Long = 12,
    private val keepIdleMillis: Long = 60_000,
    private val retryMillis: Long = 50,
) : ConnectionBudget {
    private val requests = LinkedHashSet<Long>()
    private val opening = HashSet<Long>()
    private val idle = ArrayDeque<IdleConnection>()
    private val heldSinceMillis = HashMap<Long, Long>()
    private var meanHoldMillis = 0.0
    private var nextConnectionId = 1L
    private var failuresInRow = 0
    private var openNotBeforeMillis = Long.MIN_VALUE

    init {
        require(share >= 0) { "share must not be negative but was $share" }
        require(openMillis >= 0) { "openMillis must not be negative but was $openMillis" }
    }

    override val connectionCount: Int
        get() = opening.size + idle.size + heldSinceMillis.size

    override val wantedCount: Int
        get() = heldSinceMillis.size + requests.size

    override fun setShare(count: Int, nowMillis: Long): ImmutableList<ConnectionAction> {
        require(count >= 0) { "count must not be negative but was $count" }
        share = count
        val closed = ArrayList<ConnectionAction>()
        while (connectionCount > share && idle.isNotEmpty()) {
            closed += ConnectionAction.Close(idle.removeFirst().connectionId)
        }
        return (closed + openNeeded(nowMillis)).toImmutableList()
    }

    override fun request(requestId: Long, nowMillis: Long): ImmutableList<ConnectionAction> {
        require(requests.add(requestId)) { "request $requestId is already waiting" }
        // The most recently used connection is assigned, so that surplus ones stay idle until they are closed.
        idle.removeLastOrNull()?.let { return persistentListOf(assign(it.connectionId, nowMillis)) }
        return openNeeded(nowMillis)
    }

    override fun cancel(requestId: Long): Boolean = requests.remove(requestId)

    override fun opened(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction> {
        check(opening.remove(connectionId)) { "connection $connectionId is not being opened" }
        failuresInRow = 0
        return reuseOrClose(connectionId, nowMillis)
    }

    override fun released(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction> {
        val sinceMillis = checkNotNull(heldSinceMillis.remove(connectionId)) { "connection $connectionId is not held" }
        updateMeanHold(nowMillis - sinceMillis)
        return reuseOrClose(connectionId, nowMillis)
    }

    override fun lost(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction> {
        if (opening.remove(connectionId)) {
            val factor = 1L shl minOf(failuresInRow, MAX_DOUBLINGS)
            openNotBeforeMillis = nowMillis + retryMillis * factor
            failuresInRow++
        } else if (heldSinceMillis.remove(connectionId) == null) {
            idle.removeAll { it.connectionId == connectionId }
        }
        return openNeeded(nowMillis)
    }

    override fun poll(nowMillis: Long): ImmutableList<ConnectionAction> {
        val closed = ArrayList<ConnectionAction>()
        while (idle.isNotEmpty() && nowMillis - idle.first().sinceMillis > keepIdleMillis) {
            closed += ConnectionAction.Close(idle.removeFirst().connectionId)
        }
        return (closed + openNeeded(nowMillis)).toImmutableList()
    }

    /** Closes a connection that no request holds if it exceeds the share, else assigns it to one or keeps it idle. */
    private fun reuseOrClose(connectionId: Long, nowMillis: Long): ImmutableList<ConnectionAction> {
        if (connectionCount + 1 > share) return persistentListOf(ConnectionAction.Close(connectionId))
        if (requests.isNotEmpty()) return persistentListOf(assign(connectionId, nowMillis))
        idle.addLast(IdleConnection(connectionId, sinceMillis = nowMillis))
        return persistentListOf()
    }

    private fun assign(connectionId: Long, nowMillis: Long): ConnectionAction {
        val requestId = requests.first()
        requests.remove(requestId)
        heldSinceMillis[connectionId] = nowMillis
        return ConnectionAction.Assign(connectionId, requestId)
    }

    private fun openNeeded(nowMillis: Long): ImmutableList<ConnectionAction> {
        if (nowMillis < openNotBeforeMillis) return persistentListOf()
        val opened = ArrayList<ConnectionAction>()
        while (connectionCount < share && opening.size < requests.size && openingIsFaster()) {
            val connectionId = nextConnectionId++
            opening += connectionId
            opened += ConnectionAction.Open(connectionId)
        }
        return opened.toImmutableList()
    }

    /** Compares the time to open a connection with the expected wait of the last request for a held one. */
    private fun openingIsFaster(): Boolean {
        if (heldSinceMillis.isEmpty() || meanHoldMillis == 0.0) return true
        val unservedCount = requests.size - opening.size
        return meanHoldMillis * unservedCount / heldSinceMillis.size > openMillis
    }

    private fun updateMeanHold(holdMillis: Long) {
        meanHoldMillis =
            if (meanHoldMillis ==
                0.0
            ) {
                holdMillis.toDouble()
            } else {
                meanHoldMillis + (holdMillis - meanHoldMillis) * HOLD_SMOOTHING
            }
    }

    private class IdleConnection(val connectionId: Long, val sinceMillis: Long)

    private companion object {
        const val MAX_DOUBLINGS = 5 // 2^5 = 32 times retryMillis
        const val HOLD_SMOOTHING = 0.1
    }
}
