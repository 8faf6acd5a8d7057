package dev.cardamomlane.core.fleet

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.ShareTable
import dev.cardamomlane.core.rules.RuleSet
import kotlinx.collections.immutable.toImmutableList
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.assertTrue

/** Simulates hosts, their network and the platform on a manual clock, and checks the invariants after every event. */
internal class SimFleet(hostCount: Int, seed: Long = 1) {
    private val random = Random(seed)
    private val queue = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.order }))
    private var order = 0
    var nowMillis = 0L
        private set
    var control = ControlRows()
        private set
    var isPlatformDown = false
    var platformDelayMillis = 2L
    var answersToLose = 0
    private val leases = LinkedHashMap<HostId, LeaseRow>()
    private val contents = HashMap<Long, Configuration>()
    val hosts = ArrayList<SimHost>()

    init {
        repeat(hostCount) { start("host-$it") }
    }

    fun start(name: String, incarnation: Long = 1): SimHost = SimHost(name, incarnation).also {
        hosts += it
        it.heartbeat()
    }

    /** Proposes a new revision in the control rows, as an operator's tool does, and returns its number. */
    fun propose(burst: Int = 8): Long {
        val revision = control.head.highest + 1
        val text = "customer club rate=20/s burst=$burst # test\n"
        val rules = RuleSet.parse("test", text).getOrNull()!!
        contents[revision] = Configuration(revision, rules, text, KeyRing.EMPTY)
        control = control.copy(
            head = RevisionHead(control.head.accepted, revision),
            headRowVersion = control.headRowVersion + 1,
        )
        return revision
    }

    fun host(index: Int): SimHost = hosts[index]

    fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (queue.isNotEmpty() && queue.peek().atMillis <= endMillis) {
            val event = queue.poll()
            nowMillis = event.atMillis
            event.action()
            checkInvariants()
        }
        nowMillis = endMillis
    }

    /** Runs until [condition] holds and returns how long that took in simulated time; fails after [limitMillis]. */
    fun runUntil(limitMillis: Long, what: String, condition: () -> Boolean): Long {
        val startMillis = nowMillis
        while (!condition()) {
            assertTrue(nowMillis - startMillis < limitMillis, "$what within $limitMillis ms")
            run(10)
        }
        return nowMillis - startMillis
    }

    fun areAllInStanding(except: Set<SimHost> = emptySet()): Boolean = hosts.filter {
        it.isUp && it !in except
    }.all { it.isInStanding() }

    private fun checkInvariants() {
        val standing = hosts.filter { it.isUp && !it.isPaused && it.isInStanding() }
        for (host in standing) {
            assertTrue(
                host.machine.level.confirmedRevision >= control.head.accepted,
                "${host.id} is in good standing without the accepted revision",
            )
            assertTrue(
                host.machine.record.version >= settledVersion(),
                "${host.id} is in good standing without the settled members",
            )
        }
        val held = standing.map { it.shares.holding(it.id, CUSTOMER) }.fold(Allowance.NONE) { sum, next ->
            Allowance(sum.ratePerSecond + next.ratePerSecond, sum.burst + next.burst)
        }
        val limits = listOfNotNull(control.head.accepted, control.head.proposed)
            .mapNotNull { contents[it]?.rules?.limits?.get(CUSTOMER) }
        if (limits.isNotEmpty()) {
            val burst = limits.maxOf { it.burst }
            assertTrue(held.burst <= burst + 1e-9, "shares of ${held.burst} in total exceed the burst $burst")
        }
    }

    private fun settledVersion(): Long = control.record.let { if (it.isSettled) it.version else it.version - 1 }

    private fun at(millis: Long, action: () -> Unit) {
        queue.add(Event(millis, order++, action))
    }

    private fun callPlatform(from: SimHost, answer: () -> FleetEvent, failure: FleetEvent) {
        at(nowMillis + platformDelayMillis / 2) {
            if (isPlatformDown || from.isPlatformUnreachable) {
                at(nowMillis + 50) { from.on(failure) }
            } else {
                val event = answer()
                val isLost = answersToLose > 0 && event is FleetEvent.ControlWriteEnded
                if (isLost) answersToLose--
                at(nowMillis + if (isLost) 1_000 else platformDelayMillis / 2) {
                    from.on(if (isLost) failure else event)
                }
            }
        }
    }

    inner class SimHost(name: String, incarnation: Long) {
        val id = MemberId(HostId(name), incarnation)
        private val self = Member(id, "$name:1")
        val machine = FleetMachine(self)
        var shares = ShareTable.EMPTY
        var isUp = true
        var isPlatformUnreachable = false
        var partition = 0
        private var pausedUntilMillis = 0L
        val isPaused get() = nowMillis < pausedUntilMillis

        fun isInStanding() = machine.isInStanding(nowMillis)

        fun revision() = machine.configuration?.revision

        fun pause(millis: Long) {
            pausedUntilMillis = nowMillis + millis
        }

        fun heartbeat() {
            on(FleetEvent.HeartbeatDue)
            if (isUp) at(nowMillis + 250 + random.nextLong(10)) { heartbeat() }
        }

        fun on(event: FleetEvent) {
            if (!isUp) return
            if (isPaused) return at(pausedUntilMillis) { on(event) }
            machine.on(event, nowMillis).forEach(::perform)
        }

        private fun perform(action: FleetAction) {
            when (action) {
                is FleetAction.Ask -> send(action.to) { FleetEvent.Question(id, action.question) }
                is FleetAction.Reply -> send(action.to) { FleetEvent.Answer(id, action.answer) }
                FleetAction.ReadPlatform -> readPlatform()
                FleetAction.ReadLeases -> callPlatform(
                    this,
                    { FleetEvent.LeasesRead(leases.values.toImmutableList()) },
                    FleetEvent.PlatformFailed,
                )
                FleetAction.RenewLease -> callPlatform(this, ::renew, FleetEvent.PlatformFailed)
                is FleetAction.LoadRevision -> load(action)
                is FleetAction.WriteControl -> callPlatform(this, { write(action) }, FleetEvent.ControlWriteEnded(null))
                is FleetAction.InstallShares -> shares = action.table
            }
        }

        private fun readPlatform() {
            val sentAtMillis = nowMillis
            callPlatform(this, { FleetEvent.PlatformRead(sentAtMillis, control) }, FleetEvent.PlatformFailed)
        }

        private fun renew(): FleetEvent {
            val earlier = leases[id.host]
            if (earlier != null && earlier.member.id.incarnation > id.incarnation) return FleetEvent.Ended
            leases[id.host] = LeaseRow(self, (earlier?.rowVersion ?: 0) + 1, isRetired = false)
            return FleetEvent.ControlWriteEnded(null)
        }

        private fun write(action: FleetAction.WriteControl): FleetEvent {
            val expected = action.expected
            val isExpected = expected.recordRowVersion == control.recordRowVersion &&
                expected.headRowVersion == control.headRowVersion
            if (!isExpected) return FleetEvent.ControlWriteEnded(null)
            control = action.new.copy(
                recordRowVersion = control.recordRowVersion + 1,
                headRowVersion = control.headRowVersion + 1,
            )
            return FleetEvent.ControlWriteEnded(control)
        }

        private fun load(action: FleetAction.LoadRevision) {
            val source = hosts.firstOrNull { it.id == action.from && it.isUp && reaches(it) }
            val found = source?.machine?.content(action.revision)
            if (found != null) {
                at(nowMillis + 2) { on(FleetEvent.RevisionLoaded(found)) }
            } else {
                callPlatform(this, {
                    FleetEvent.RevisionLoaded(contents.getValue(action.revision))
                }, FleetEvent.PlatformFailed)
            }
        }

        private fun reaches(other: SimHost) = partition == other.partition

        private fun send(to: MemberId, event: () -> FleetEvent) {
            val receiver = hosts.lastOrNull { it.id == to } ?: return
            if (!receiver.isUp || !reaches(receiver) || random.nextInt(50) == 0) return
            at(nowMillis + 1 + random.nextLong(2)) { receiver.on(event()) }
        }
    }

    private class Event(val atMillis: Long, val order: Int, val action: () -> Unit)

    companion object {
        val CUSTOMER = CustomerId("club")
    }
}
