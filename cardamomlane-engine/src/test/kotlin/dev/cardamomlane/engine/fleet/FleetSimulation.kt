package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.ClockReading
import dev.cardamomlane.engine.FakeCaller
import dev.cardamomlane.engine.FakeStore
import dev.cardamomlane.engine.FakeTarget
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.session.CallerSession
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.Statement
import kotlin.random.Random

/**
 * One schedule: [hostCount] hosts, three targets, and faults drawn from a seed. Records which writes the targets ran and which
 * answers the callers got, and compares them.
 *
 * @param hasRestores whether the store is also restored from older copies, and hosts restart
 * @param clockReading if given, there are [ClockFaults] too, and the hosts take their time from there
 * @param stepCount how long the faults go on, in steps of [STEP_MILLIS]
 */
class FleetSimulation(
    seed: Int,
    private val hostCount: Int = 5,
    private val hasRestores: Boolean = false,
    clockReading: ClockReading? = null,
    private val stepCount: Int = STEPS,
) {
    private val random = Random(seed)
    private val restoreRandom = Random(-seed)
    private val copies = ArrayDeque<FakeStore.Copy>()
    private val fixture =
        HostFixture(hostCount, settleMillis = 2_000, clockReading = clockReading ?: ClockReading.BOOT_TIME)
    private val clockFaults = if (clockReading != null) ClockFaults(fixture, seed) else null
    private val timers = fixture.timers
    private val ids = listOf("p", "r1", "r2")
    private val partitionedReplicas = HashSet<String>()
    private val findings = ArrayList<String>()
    private val commits = HashMap<String, MutableList<Commit>>()
    private val acknowledgedAtMillis = HashMap<String, Long>()
    private val refused = HashSet<String>()
    private val reads = HashMap<String, Read>()
    private var primary = fixture.targets.target("p")
    private var writeCount = 0
    private val callers = List(CALLERS) { Caller(it * hostCount / CALLERS, DATABASES[it % DATABASES.size]) } +
        Caller(0, "latest")

    val promotionCount: Int get() = fixture.promotions.size
    val fences: List<Long> get() = fixture.promotions.map { it.second }
    var restoreCount = 0
        private set
    val acknowledgedCount: Int get() = acknowledgedAtMillis.size

    /** Runs the schedule and returns a line for each violation. */
    fun run(): List<String> {
        fixture.targets.onCommit = ::onCommit
        fixture.targets.onRun = ::onRun
        fixture.onPromoted = ::onPromoted
        repeat(stepCount) { step ->
            timers.advance(STEP_MILLIS)
            replicate()
            callers.forEach { it.step() }
            clockFaults?.tick(primary.id)
            if (step % FAULT_STEPS == 0) injectFault()
            if (hasRestores) restoreAndRestart(step)
        }
        endFaults()
        timers.advance(5_000)
        callers.forEach { it.collectAnswer() }
        checkOutcomes()
        return findings + clockFaults?.findings.orEmpty()
    }

    private fun injectFault() {
        val host = "host-${random.nextInt(hostCount)}"
        when (random.nextInt(12)) {
            0 -> fixture.store.isDown = !fixture.store.isDown
            1 -> fixture.partitionedHosts += host
            2 -> fixture.hostsWithoutPlatform += host
            3 -> crash(primary)
            4 -> primary.isSilent = true
            5 -> partitionedReplicas += ids.random(random)
            6 -> primary.lostAnswers = 2
            7 -> splitFleet()
            8 -> fixture.links.disconnect(host)
            else -> endFaults()
        }
    }

    private fun restoreAndRestart(step: Int) {
        if (step % COPY_STEPS == 0) copies.addLast(fixture.store.copy())
        if (copies.size > MAX_COPIES) copies.removeFirst()
        if (step % RESTORE_STEPS != RESTORE_STEPS - 1) return
        if (restoreRandom.nextInt(3) != 0) restore()
        when (restoreRandom.nextInt(4)) {
            0 -> repeat(hostCount, ::restart)
            1 -> repeat(hostCount / 2) { restart(restoreRandom.nextInt(hostCount)) }
            2 -> restart(restoreRandom.nextInt(hostCount))
            else -> Unit
        }
    }

    private fun restore() {
        val copy = copies.random(restoreRandom)
        copies.clear()
        copies += copy
        fixture.store.restore(copy)
        restoreCount++
    }

    private fun restart(index: Int) {
        fixture.restart(index)
        callers.filter { it.host == index }.forEach { it.onHostLost() }
    }

    /** One or two hosts keep the primary and lose everything else; the other hosts lose the primary. */
    private fun splitFleet() {
        val kept = List(2) { random.nextInt(hostCount) }.toSet()
        for (host in 0 until hostCount) {
            if (host in kept) {
                fixture.partitionedHosts += "host-$host"
                fixture.hostsWithoutPlatform += "host-$host"
            } else {
                fixture.targets.partitionedPaths += "host-$host/${primary.id}"
            }
        }
    }

    private fun crash(target: FakeTarget) {
        target.isDown = true
        fixture.targets.links.filter { it.target === target }.forEach { it.disconnect() }
    }

    /** Ends every fault. A crashed target that was replaced restarts as a replica. */
    private fun endFaults() {
        fixture.store.isDown = false
        fixture.partitionedHosts.clear()
        fixture.hostsWithoutPlatform.clear()
        fixture.targets.partitionedPaths.clear()
        partitionedReplicas.clear()
        for (id in ids) {
            val target = fixture.targets.target(id)
            target.isSilent = false
            if (target.isDown && target !== primary) target.isPrimary = false
            target.isDown = false
        }
    }

    private fun replicate() {
        if (primary.isDown || primary.isSilent) return
        for (id in ids) {
            val target = fixture.targets.target(id)
            val isReached = !target.isDown && id !in partitionedReplicas && random.nextInt(3) != 0
            if (!isReached || target.isPrimary) continue
            target.position = primary.position
            target.log.clear()
            target.log.addAll(primary.log)
        }
    }

    private fun onPromoted(target: FakeTarget) {
        primary = target
    }

    private fun onCommit(target: FakeTarget, text: String) {
        commits.getOrPut(text) { ArrayList() } += Commit(isAtPrimary = target === primary)
    }

    private fun onRun(target: FakeTarget, text: String) {
        val read = reads[text] ?: return
        val surviving = primary.log.toHashSet()
        val held = target.log.toHashSet()
        val missing = read.mustSee.filter { it in surviving && it !in held }
        if (missing.isNotEmpty()) findings += "read $text at ${target.id} lacks $missing"
    }

    private fun checkOutcomes() {
        for ((text, found) in commits) {
            if (found.size > 1) findings += "$text was committed ${found.size} times"
            if (text in refused) findings += "$text was refused as not run, but was committed"
            if (text in acknowledgedAtMillis && found.none { it.isAtPrimary }) {
                findings += "$text was acknowledged, but was committed by a replaced primary only"
            }
        }
        for (text in acknowledgedAtMillis.keys - commits.keys) findings += "$text was acknowledged, but never committed"
    }

    private class Commit(val isAtPrimary: Boolean)

    private class Read(val mustSee: Set<String>)

    /** A caller that sends writes and reads at random, the next one once it has the answer to the last. */
    private inner class Caller(val host: Int, private val database: String) {
        private var link = FakeCaller()
        private var session: CallerSession? = null
        private var unanswered: String? = null
        private var ownWrites = HashSet<String>()
        private var collectedCount = 0

        fun step() {
            collectAnswer()
            if (unanswered != null) return
            val open = session ?: open() ?: return
            val text = if (random.nextBoolean()) "WRITE ${writeCount++} x" else "READ ${writeCount++}"
            unanswered = text
            val access = if (text.startsWith("WRITE")) Access.WRITE else Access.READ
            if (access == Access.READ) reads[text] = Read(mustSee())
            fixture.machine("host-$host").whenAwake { open.onStatement("id", Statement.Run(access, text)) }
        }

        private fun mustSee(): Set<String> {
            val ageMillis = if (database == "latest") 0 else MAX_STALE_MILLIS
            val nowMillis = timers.nowMillis()
            val old = acknowledgedAtMillis.filterValues { it < nowMillis - ageMillis }.keys
            return if (database == "session") old + ownWrites else old.toSet()
        }

        private fun open(): CallerSession? {
            if (fixture.machine("host-$host").isSuspended) return null
            link = FakeCaller()
            collectedCount = 0
            ownWrites.clear()
            val opened = fixture.hosts[host].openSession(link, database, "key")
            if (link.isOpened) session = opened
            return session
        }

        /** The host was killed: the statement under way is never answered. */
        fun onHostLost() {
            unanswered?.let(reads::remove)
            unanswered = null
            session = null
        }

        fun collectAnswer() {
            val text = unanswered
            if (link.answers.size > collectedCount && text != null) {
                collectedCount = link.answers.size
                unanswered = null
                reads.remove(text)
                record(text, link.answers.last().error?.code?.isNotRun, isSuccess = link.answers.last().error == null)
            }
            if (link.isClosed) {
                session?.let(fixture.hosts[host]::closeSession)
                session = null
                unanswered = null
            }
        }

        private fun record(text: String, isNotRun: Boolean?, isSuccess: Boolean) {
            if (!text.startsWith("WRITE")) return
            if (isNotRun == true) refused += text
            if (isSuccess) {
                acknowledgedAtMillis[text] = timers.nowMillis()
                ownWrites += text
            }
        }
    }

    private companion object {
        const val CALLERS = 5
        val DATABASES = listOf("latest", "session", "bounded")
        const val STEPS = 700
        const val STEP_MILLIS = 25L

        /** The number of steps from one fault to the next. */
        const val FAULT_STEPS = 110

        /** The number of steps from one copy of the store to the next, and from one restoration or restart to the next. */
        const val COPY_STEPS = 20
        const val RESTORE_STEPS = 130

        /** How many copies are kept; the oldest is ten seconds old. */
        const val MAX_COPIES = 20

        /** Must equal the `maxStaleMillis` of the routes in [HostFixture]. */
        const val MAX_STALE_MILLIS = 1_500L
    }
}
