package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.cases.ForeignRows
import dev.cardamomlane.standin.lane.host.HostProcess
import dev.cardamomlane.standin.lane.store.StoreOutage
import dev.cardamomlane.standin.lane.wire.PlatformWords
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Disturbs an installation, one disturbance after another. Several of them run beside one another, so that disturbances
 * of different parts overlap.
 *
 * @param occupied the parts that are disturbed now, shared by all disturbers of a soak
 */
internal class Disturber(
    private val installation: LaneInstallation,
    private val history: SoakHistory,
    private val random: Random,
    private val occupied: MutableSet<DisturbedPart> = ConcurrentHashMap.newKeySet(),
) {
    private val platform = installation.platform
    private val record = installation.record

    /** Blocks until [isOver] says so and the last disturbance has ended. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS))
            val kind = DisturbanceKind.entries.random(random)
            if (isOver() || !occupied.add(kind.part)) continue
            try {
                disturb(kind)
            } finally {
                occupied -= kind.part
            }
        }
    }

    private fun disturb(kind: DisturbanceKind) {
        val startMillis = record.nowMillis
        record.line("disturbance $kind begins")
        val subject = when (kind) {
            DisturbanceKind.TARGET_CRASH -> crashTarget()
            DisturbanceKind.TARGET_RELEASE -> releaseTarget()
            DisturbanceKind.LOST_ANSWERS -> loseAnswers()
            DisturbanceKind.HOST_STOP -> restartHost { it.terminate(GRACE_MILLIS).get() }
            DisturbanceKind.HOST_KILL -> restartHost(HostProcess::kill)
            DisturbanceKind.STORE_OUTAGE -> disturbStore {
                platform.storeFaults.outage =
                    StoreOutage.entries.random(random)
            }
            DisturbanceKind.STORE_SLOW -> disturbStore { platform.storeFaults.slowMillis = random.nextLong(50, 600) }
            DisturbanceKind.STORE_LOST_ANSWERS -> disturbStore {
                platform.storeFaults.loseAnswers(random.nextInt(1, 6))
            }
            DisturbanceKind.PROMOTION_SLOW -> slowPromotions()
            DisturbanceKind.FOREIGN_ROWS -> writeForeignRow()
            DisturbanceKind.KEY_WITHDRAWAL -> withdrawKey()
        }
        history.add(Disturbance(kind, subject, startMillis, record.nowMillis))
        record.line("disturbance $kind $subject is over")
    }

    private fun crashTarget(): String {
        val server = platform.onLoop { platform.primaryServer() }.takeIf { random.nextInt(3) > 0 }
            ?: platform.targets.random(random)
        platform.onLoop { server.crash() }
        Thread.sleep(random.nextLong(500, 7_000))
        platform.onLoop { server.start() }
        return server.target.name
    }

    private fun releaseTarget(): String {
        val server = platform.targets.random(random)
        platform.onLoop { server.target.drain() }
        Thread.sleep(DRAIN_MILLIS)
        platform.onLoop { server.leave() }
        Thread.sleep(random.nextLong(300, 2_000))
        platform.onLoop { server.start() }
        return server.target.name
    }

    private fun loseAnswers(): String {
        val server = platform.targets.random(random)
        platform.onLoop { server.target.loseAnswers(random.nextInt(1, 4)) }
        Thread.sleep(random.nextLong(500, 2_000))
        platform.onLoop { server.target.loseAnswers(0) }
        return server.target.name
    }

    private fun restartHost(end: (HostProcess) -> Unit): String {
        val host = installation.hosts.random(random)
        end(host)
        Thread.sleep(random.nextLong(200, 3_000))
        host.start()
        while (!host.isReady()) Thread.sleep(POLL_MILLIS)
        return host.plan.name
    }

    private fun disturbStore(begin: () -> Unit): String {
        platform.onLoop(begin)
        Thread.sleep(random.nextLong(300, 4_500))
        platform.onLoop { platform.storeFaults.heal() }
        return ""
    }

    private fun slowPromotions(): String {
        platform.onLoop { platform.promotionFaults.slowMillis = random.nextLong(200, 3_500) }
        Thread.sleep(random.nextLong(2_000, 9_000))
        platform.onLoop { platform.promotionFaults.heal() }
        return ""
    }

    private fun writeForeignRow(): String {
        val name = "x${random.nextInt(FOREIGN_ROW_COUNT)}"
        platform.onLoop { platform.store.put(PlatformWords.TARGET_TABLE, name, ForeignRows.next(random)) }
        Thread.sleep(random.nextLong(200, 3_000))
        if (random.nextBoolean()) platform.onLoop { platform.store.remove(PlatformWords.TARGET_TABLE, name) }
        return name
    }

    /** Withdraws the first key of a customer and gives it back later. The subject is the key. */
    private fun withdrawKey(): String {
        val customer = random.nextInt(installation.customers.size)
        val keys = installation.customers[customer].keys
        installation.setKeys(customer, keys.drop(1))
        Thread.sleep(random.nextLong(3_500, 8_000))
        installation.setKeys(customer, keys)
        return keys.first()
    }

    companion object {
        /** The time between SIGTERM and SIGKILL. */
        const val GRACE_MILLIS = 6_000L
        private const val DRAIN_MILLIS = 7_500L
        private const val MIN_PAUSE_MILLIS = 200L
        private const val MAX_PAUSE_MILLIS = 3_000L
        private const val POLL_MILLIS = 100L
        private const val FOREIGN_ROW_COUNT = 3
    }
}
