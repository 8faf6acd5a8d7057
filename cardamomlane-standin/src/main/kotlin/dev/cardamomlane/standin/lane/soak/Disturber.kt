package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.cases.ForeignRows
import dev.cardamomlane.standin.lane.host.ClockOffsets
import dev.cardamomlane.standin.lane.host.HostProcess
import dev.cardamomlane.standin.lane.load.LoadTrouble
import dev.cardamomlane.standin.lane.store.StoreOutage
import dev.cardamomlane.standin.lane.wire.PlatformWords
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Disturbs an installation, one disturbance after another. Several of them run beside one another, so that disturbances
 * of different parts overlap.
 *
 * @param clocks of the hosts, or null if their time of day can't be moved
 * @param occupied the parts that are disturbed now, shared by all disturbers of a soak
 */
internal class Disturber(
    private val installation: LaneInstallation,
    private val history: SoakHistory,
    private val random: Random,
    private val clocks: ClockOffsets? = null,
    private val occupied: MutableSet<DisturbedPart> = ConcurrentHashMap.newKeySet(),
) {
    private val platform = installation.platform
    private val record = installation.record
    private val kinds = DisturbanceKind.entries.filter { it != DisturbanceKind.CLOCK_STEP || clocks != null }

    /** Blocks until [isOver] says so and the last disturbance has ended. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS))
            val kind = kinds.random(random)
            if (isOver() || !occupy(kind.parts)) continue
            try {
                disturb(kind)
            } finally {
                occupied -= kind.parts
            }
        }
    }

    /** Takes all of [parts], or none of them and returns false if another disturbance meets one. */
    private fun occupy(parts: Set<DisturbedPart>): Boolean {
        val taken = parts.filter(occupied::add)
        if (taken.size < parts.size) occupied -= taken.toSet()
        return taken.size == parts.size
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
            DisturbanceKind.HOST_PAUSE -> pauseHost()
            DisturbanceKind.HOLDER_KILL -> killHolder()
            DisturbanceKind.ROLLING_STOP -> stopInTurn()
            DisturbanceKind.STORE_OUTAGE -> disturbStore {
                platform.storeFaults.outage =
                    StoreOutage.entries.random(random)
            }
            DisturbanceKind.STORE_SLOW -> disturbStore { platform.storeFaults.slowMillis = random.nextLong(50, 600) }
            DisturbanceKind.STORE_LOST_ANSWERS -> disturbStore {
                platform.storeFaults.loseAnswers(random.nextInt(1, 6))
            }
            DisturbanceKind.PROMOTION_SLOW -> slowPromotions()
            DisturbanceKind.PROMOTION_LOST_ANSWERS -> losePromotionAnswers()
            DisturbanceKind.REPLICA_LAG -> slowReplicas()
            DisturbanceKind.CLOCK_STEP -> stepClocks()
            DisturbanceKind.STUTTER -> repeatAnswers()
            DisturbanceKind.HOT_CUSTOMER -> pressCustomer()
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
        awaitReady(host)
        return host.plan.name
    }

    private fun pauseHost(): String {
        val host = installation.hosts.random(random)
        host.pause()
        Thread.sleep(random.nextLong(300, 5_000))
        host.resume()
        return host.plan.name
    }

    /** Kills the host that orders the next promotion when it is performed, and the next one again in half of the runs. */
    private fun killHolder(): String {
        val killed = CopyOnWriteArrayList<HostProcess>()
        val limit = random.nextInt(1, 3)
        val isArmed = AtomicBoolean(true)
        platform.onPromotion { order ->
            val holder = installation.fleet.find(order.holder.substringBefore('#'))
            if (isArmed.get() && killed.size < limit && killed.addIfAbsent(holder)) holder.kill()
        }
        val server = platform.onLoop { platform.primaryServer()?.also { it.target.drain() } }
        Thread.sleep(random.nextLong(2_500, 7_000))
        isArmed.set(false)
        killed.forEach(HostProcess::start)
        if (server != null) {
            platform.onLoop { server.crash() }
            Thread.sleep(RESTART_MILLIS)
            platform.onLoop { server.start() }
        }
        killed.forEach(::awaitReady)
        return killed.joinToString { it.plan.name }
    }

    private fun stopInTurn(): String {
        val hosts = installation.hosts.shuffled(random).take(random.nextInt(2, 4))
        hosts.forEach { host ->
            val startMillis = record.nowMillis
            host.terminate(GRACE_MILLIS).get()
            host.start()
            awaitReady(host)
            history.add(Disturbance(DisturbanceKind.HOST_STOP, host.plan.name, startMillis, record.nowMillis))
        }
        return hosts.joinToString { it.plan.name }
    }

    private fun losePromotionAnswers(): String {
        platform.onLoop { platform.promotionFaults.losesAnswers = true }
        Thread.sleep(random.nextLong(2_000, 9_000))
        platform.onLoop { platform.promotionFaults.heal() }
        return ""
    }

    /** Replicas fall behind, and one of them receives nothing in a third of the runs. */
    private fun slowReplicas(): String {
        val targets = platform.targets.map { it.target }.shuffled(random).take(random.nextInt(1, 4))
        val lagMillis = random.nextLong(200, 6_000)
        val isCutOff = random.nextInt(3) == 0
        platform.onLoop {
            targets.forEach { it.lagMillis = lagMillis }
            if (isCutOff) targets.first().isReceiving = false
        }
        Thread.sleep(random.nextLong(1_000, 7_000))
        platform.onLoop {
            targets.forEach {
                it.lagMillis = installation.site.lagMillis
                it.isReceiving = true
            }
        }
        return targets.joinToString { it.name }
    }

    /** All targets send some answers twice and refuse some statements. */
    private fun repeatAnswers(): String {
        val faults = platform.group.answerFaults
        platform.onLoop { LoadTrouble.STUTTER.begin(faults, isStateRebuilt = random.nextBoolean()) }
        Thread.sleep(random.nextLong(2_000, 12_000))
        platform.onLoop { faults.heal() }
        return ""
    }

    private fun stepClocks(): String {
        val offsets = checkNotNull(clocks)
        val hosts = installation.hosts.map { it.plan.name }.shuffled(random).take(random.nextInt(1, 3))
        repeat(random.nextInt(1, 4)) {
            val stepMillis = random.nextLong(500, 3_000) * if (random.nextInt(3) == 0) -1 else 1
            hosts.forEach { offsets.set(it, stepMillis) }
            Thread.sleep(random.nextLong(200, 2_500))
            hosts.forEach { offsets.set(it, 0) }
            Thread.sleep(random.nextLong(100, 1_000))
        }
        return hosts.joinToString()
    }

    /** Callers of one customer send as fast as they can at all hosts. The subject is the customer's key. */
    private fun pressCustomer(): String {
        val customer = random.nextInt(installation.customers.size)
        val key = installation.customers[customer].keys.first()
        val endMillis = record.nowMillis + random.nextLong(3_000, 9_000)
        val callers = List(HOT_CALLERS) { number ->
            val host = number % installation.hosts.size
            SoakCaller(
                installation,
                HOT_NUMBER + number,
                host,
                customer,
                key,
                history,
                Random(random.nextLong()),
                HOT_PAUSE_MILLIS,
            )
        }
        val threads = callers.map { thread(isDaemon = true) { it.run { record.nowMillis > endMillis } } }
        threads.forEach(Thread::join)
        return key
    }

    private fun awaitReady(host: HostProcess) {
        while (!host.isReady()) Thread.sleep(POLL_MILLIS)
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
        private const val RESTART_MILLIS = 500L
        private const val HOT_CALLERS = 12
        private const val HOT_PAUSE_MILLIS = 4L

        /** Keeps the names of these callers apart from those of the usual ones. */
        private const val HOT_NUMBER = 900
    }
}
