package dev.cardamomlane.engine.session

import dev.cardamomlane.engine.FakeLink
import dev.cardamomlane.engine.HostFixture
import dev.cardamomlane.engine.config.Route
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.TargetStatement
import kotlin.random.Random

/**
 * A seeded schedule of callers at three hosts that forward to each other, whose statements take various times. In three
 * of four schedules answers are lost, callers leave and connections between hosts break besides.
 */
abstract class SessionSchedule(seed: Long) {
    protected val random = Random(seed)
    protected val timeoutMillis = listOf(1_000L, 3_000L).random(random)
    protected val fixture = HostFixture(
        hostCount = HOSTS,
        maxConnections = if (random.nextBoolean()) 8 else 40,
        timeoutMillis = timeoutMillis,
    )
    protected val timers = fixture.timers

    /** True when nothing happens but what the schedule is about. */
    protected val isQuiet = random.nextInt(4) == 0
    protected val begun = ArrayList<BegunStatement>()
    protected val linkCutsMillis = ArrayList<Long>()
    private val pauseMillis = listOf(1..40, 50..400, 200..1_400).random(random)
    private val slowMillis = listOf(100L, 400L, timeoutMillis - 50).random(random)
    private val slowShare = listOf(0.1, 0.5, 1.0).random(random)

    protected lateinit var callers: List<ScheduledCaller>

    /** How many callers' statements were begun at targets. */
    val begunCount: Int get() = begun.size

    /** Plays the schedule and returns what broke a rule. */
    fun run(): List<String> {
        prepareTargets()
        val first = fixture.configuration(version = 2, customers = CUSTOMERS, change = ::adjusted)
        fixture.hosts.forEach { it.configure(first) }
        callers = (0 until CALLERS).map { caller(it) }
        refuseSome()
        if (!isQuiet) disturb()
        play()
        return findings() + callers.flatMap { it.findings } + callers.flatMap(::untrue)
    }

    /** Makes the routes of the schedule from the usual ones. */
    protected open fun adjusted(route: Route): Route = route

    /** Lets the time of the schedule pass. */
    protected abstract fun play()

    /** What broke the rules that the schedule is about. */
    protected abstract fun findings(): List<String>

    private fun caller(index: Int) = ScheduledCaller(
        name = "c$index",
        fixture = fixture,
        random = Random(random.nextLong()),
        key = CUSTOMERS.keys.elementAt(index % CUSTOMERS.size),
        host = index % HOSTS,
        database = if (index % 4 == 0) "bounded" else "latest",
        pauseMillis = pauseMillis,
    )

    private fun prepareTargets() {
        for (id in listOf("p", "r1", "r2")) fixture.targets.target(id).durationMillis = ::durationMillis
        timers.every(REPLICATION_MILLIS) { fixture.replicate() }
        fixture.targets.onBegin = { link, statement, millis ->
            begun += BegunStatement(idOf(statement), statement, link, timers.nowMillis(), timers.nowMillis() + millis)
        }
        fixture.targets.onCut = { link, statement ->
            begun.last { it.link === link && it.statement == statement }.cutAtMillis = timers.nowMillis()
        }
    }

    private fun durationMillis(statement: TargetStatement): Long {
        val mayBeSlow = statement is TargetStatement.Run || statement is TargetStatement.Commit
        return if (mayBeSlow && random.nextDouble() < slowShare) random.nextLong(1, slowMillis + 1) else FAST_MILLIS
    }

    private fun idOf(statement: TargetStatement): String = when (statement) {
        is TargetStatement.Run -> statement.id
        is TargetStatement.Commit -> statement.id
        else -> "-"
    }

    /** The primary refuses some statements, which are then sent again. */
    private fun refuseSome() {
        repeat(random.nextInt(MAX_REFUSALS)) {
            at(random.nextLong(DISTURBED_MILLIS)) { fixture.targets.target("p").refusals += ErrorCode.BUSY }
        }
    }

    private fun disturb() {
        repeat(random.nextInt(3)) {
            at(random.nextLong(DISTURBED_MILLIS)) { fixture.targets.target("p").lostAnswers++ }
        }
        repeat(random.nextInt(3)) { at(random.nextLong(DISTURBED_MILLIS)) { callers.random(random).leave() } }
        repeat(random.nextInt(3)) {
            at(random.nextLong(DISTURBED_MILLIS)) {
                linkCutsMillis += timers.nowMillis()
                fixture.links.disconnect("host-${random.nextInt(HOSTS)}")
            }
        }
    }

    protected fun at(delayMillis: Long, action: () -> Unit) {
        timers.after(delayMillis, action)
    }

    /** What [caller] was told of its writes that is not true. */
    private fun untrue(caller: ScheduledCaller): List<String> {
        val log = fixture.targets.target("p").log
        return caller.operations.flatMap { operation ->
            val allowed = operation.commitCounts ?: 0..1
            operation.writes.filter { write -> log.count { it == write } !in allowed }
                .map { "$it was committed ${log.count { write -> write == it }} times, the caller was told $allowed" }
        }
    }

    /** A caller's statement that a target has begun, on [link]. */
    class BegunStatement(
        val id: String,
        val statement: TargetStatement,
        val link: FakeLink,
        val atMillis: Long,
        val endMillis: Long,
    ) {
        /** When the connection was closed before the statement's end, or null. */
        var cutAtMillis: Long? = null

        override fun toString() = "$statement, begun at $atMillis, due at $endMillis, on ${link.host}"
    }

    protected companion object {
        const val HOSTS = 3
        const val CALLERS = 12
        const val REPLICATION_MILLIS = 30L
        const val MAX_REFUSALS = 60
        const val FAST_MILLIS = 5L
        const val DISTURBED_MILLIS = 6_000L
        val CUSTOMERS = mapOf("key" to "press", "other-key" to "guild")
    }
}
