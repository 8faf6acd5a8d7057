package dev.cardamomlane.standin.lane.soak

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.cases.ForeignRows
import dev.cardamomlane.standin.lane.host.ClockOffsets
import dev.cardamomlane.standin.lane.host.HostProcess
import dev.cardamomlane.standin.lane.load.LoadTrouble
import dev.cardamomlane.standin.lane.store.StoreOutage
import dev.cardamomlane.standin.lane.target.TargetServer
import dev.cardamomlane.standin.lane.wire.PlatformWords
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Disturbs an installation, one disturbance after another. Several of them run beside one another, so that disturbances
 * of different parts overlap.
 *
 * @param clocks of the hosts, or null if their time of day can't be moved
 * @param occupied shared by all disturbers of a soak
 * @param drawn the kinds that are drawn, each as often as any other
 */
internal class Disturber(
    private val installation: LaneInstallation,
    private val history: SoakHistory,
    private val random: Random,
    private val clocks: ClockOffsets? = null,
    private val occupied: DisturbedParts = DisturbedParts(),
    drawn: List<DisturbanceKind> = DisturbanceKind.entries,
) {
    private val platform = installation.platform
    private val record = installation.record
    private val kinds = drawn.filter { it != DisturbanceKind.CLOCK_STEP || clocks != null }

    /** Blocks until [isOver] says so and the last disturbance has ended. */
    fun run(isOver: () -> Boolean) {
        while (!isOver()) {
            Thread.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS))
            val kind = kinds.random(random)
            if (isOver() || !occupied.occupy(kind.parts)) continue
            try {
                disturb(kind)
            } finally {
                occupied.release(kind.parts)
            }
        }
    }

    private fun disturb(kind: DisturbanceKind) {
        val startMillis = record.nowMillis
        record.line("disturbance $kind begins")
        val subject = when (kind) {
            DisturbanceKind.TARGET_CRASH -> withTarget(mostlyPrimary()) { crash(it, downMillis()) }
            DisturbanceKind.TARGET_RELEASE -> withTarget(platform.targets.random(random)) { release(it, awayMillis()) }
            DisturbanceKind.LOST_ANSWERS -> withTarget(platform.targets.random(random), ::loseAnswers)
            DisturbanceKind.DROPPED_ANSWERS -> dropAnswersAndCrash()
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
            DisturbanceKind.RELEASE_AND_CRASH -> releaseAndCrash()
            DisturbanceKind.CLOCK_STEP -> stepClocks()
            DisturbanceKind.STUTTER -> repeatAnswers()
            DisturbanceKind.HOT_CUSTOMER -> pressCustomer()
            DisturbanceKind.FOREIGN_ROWS -> writeForeignRow()
            DisturbanceKind.ROUTE_CHANGE -> RouteChanger(installation, history, random).run()
            DisturbanceKind.KEY_WITHDRAWAL -> withdrawKey()
        }
        history.add(Disturbance(kind, subject, startMillis, record.nowMillis))
        record.line("disturbance $kind $subject is over")
    }

    /** Calls [disturb] with [server] unless another disturbance meets that target. Returns the target's name, or nothing. */
    private fun withTarget(server: TargetServer, disturb: (TargetServer) -> Unit): String =
        withTargets(listOf(server)) { disturb(server) }

    /** Calls [disturb] unless another disturbance meets one of [servers]. Returns their names, or nothing. */
    private fun withTargets(servers: List<TargetServer>, disturb: () -> Unit): String {
        val names = servers.map { it.target.name }
        if (!occupied.occupyTargets(names.toSet())) return ""
        try {
            disturb()
        } finally {
            occupied.releaseTargets(names.toSet())
        }
        return names.joinToString(" ")
    }

    private fun mostlyPrimary(): TargetServer =
        platform.onLoop { platform.primaryServer() }.takeIf { random.nextInt(3) > 0 } ?: platform.targets.random(random)

    private fun downMillis(): Long = random.nextLong(500, 7_000)

    private fun awayMillis(): Long = random.nextLong(300, 2_000)

    private fun crash(server: TargetServer, downMillis: Long) {
        platform.onLoop { server.crash() }
        Thread.sleep(downMillis)
        platform.onLoop { server.start() }
    }

    private fun release(server: TargetServer, awayMillis: Long) {
        platform.onLoop { server.target.drain() }
        Thread.sleep(DRAIN_MILLIS)
        platform.onLoop { server.leave() }
        Thread.sleep(awayMillis)
        platform.onLoop { server.start() }
    }

    /**
     * A replica is released, the other replicas receive nothing for a while, and the primary crashes meanwhile. So the
     * one that is released may be the only one that has the newest commits.
     */
    private fun releaseAndCrash(): String {
        val primary = platform.onLoop { platform.primaryServer() } ?: return ""
        val (released, deaf) = (platform.targets - primary).shuffled(random).let { it.first() to it.drop(1) }
        val deafAfterMillis = random.nextLong(3_000)
        val crashAfterMillis = deafAfterMillis + random.nextLong(300, DEAF_MILLIS)
        val awayMillis = awayMillis()
        val downMillis = downMillis()
        return withTargets(listOf(released, primary) + deaf) {
            val parts = listOf(
                thread { release(released, awayMillis) },
                thread {
                    Thread.sleep(deafAfterMillis)
                    platform.onLoop { deaf.forEach { it.target.isReceiving = false } }
                    Thread.sleep(DEAF_MILLIS)
                    platform.onLoop { deaf.forEach { it.target.isReceiving = true } }
                },
                thread {
                    Thread.sleep(crashAfterMillis)
                    crash(primary, downMillis)
                },
            )
            parts.forEach(Thread::join)
        }
    }

    private fun loseAnswers(server: TargetServer) {
        platform.onLoop { server.target.loseAnswers(random.nextInt(1, 4)) }
        Thread.sleep(random.nextLong(500, 2_000))
        platform.onLoop { server.target.loseAnswers(0) }
    }

    /**
     * Replicas lose a share of their answers for seconds, up to a few times, while their connections stay open, and then the
     * primary crashes. So hosts may still wait for answers of the replica that is promoted.
     */
    private fun dropAnswersAndCrash(): String {
        val primary = platform.onLoop { platform.primaryServer() } ?: return ""
        val replicas = platform.targets - primary
        val downMillis = downMillis()
        return withTargets(listOf(primary) + replicas) {
            repeat(random.nextInt(1, MAX_DROPS + 1)) {
                val share = random.nextDouble(MIN_DROPPED_SHARE, MAX_DROPPED_SHARE)
                platform.onLoop { replicas.forEach { it.target.droppedShare = share } }
                Thread.sleep(random.nextLong(MIN_DROP_MILLIS, MAX_DROP_MILLIS))
                platform.onLoop { replicas.forEach { it.target.droppedShare = 0.0 } }
                Thread.sleep(random.nextLong(DROP_PAUSE_MILLIS))
            }
            crash(primary, downMillis)
        }
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
        val server = platform.onLoop { platform.primaryServer() }
        val restartHosts = {
            Thread.sleep(random.nextLong(2_500, 7_000))
            isArmed.set(false)
            killed.forEach(HostProcess::start)
        }
        val released = if (server == null) {
            ""
        } else {
            withTarget(server) {
                platform.onLoop { server.target.drain() }
                restartHosts()
                platform.onLoop { server.crash() }
                Thread.sleep(RESTART_MILLIS)
                platform.onLoop { server.start() }
            }
        }
        if (released.isEmpty()) restartHosts()
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

        /** How often, for how long and in what share replicas lose answers. */
        private const val MAX_DROPS = 4
        private const val MIN_DROPPED_SHARE = 0.3
        private const val MAX_DROPPED_SHARE = 0.8
        private const val MIN_DROP_MILLIS = 2_000L
        private const val MAX_DROP_MILLIS = 4_500L
        private const val DROP_PAUSE_MILLIS = 1_500L
        private const val DRAIN_MILLIS = 7_500L
        private const val DEAF_MILLIS = 6_000L
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
