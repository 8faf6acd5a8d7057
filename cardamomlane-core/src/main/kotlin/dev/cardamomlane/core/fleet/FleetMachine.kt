package dev.cardamomlane.core.fleet

import kotlinx.collections.immutable.ImmutableList

/**
 * One host's part in the fleet: whether it may serve, which members there are, and which revision is in force.
 *
 * A host is in good standing while, within [FleetTimings.standingMillis], it read the platform or heard a majority of
 * the members of record, and none of that showed a change that the host does not hold. A change (of the members or of
 * the configuration) takes effect when every member confirmed it, or when a majority has known of it for
 * [FleetTimings.settleMillis]: by then every host that does not know of it is out of standing. Relayed evidence counts
 * with its age. All times are this host's monotonic time, counted from the sending of the question.
 *
 * Not safe for use by several threads.
 */
public class FleetMachine(private val self: Member, private val timings: FleetTimings = FleetTimings()) {
    private val slots = RevisionSlots()
    private val attestations = Attestations(self.id)
    private val confirmations = Confirmations(self.id)
    private val questions = OpenQuestions()
    private val leases = LeaseWatch(timings)
    private val steward = Steward(self, timings, leases, confirmations)
    private val polling = Polling(self.id, timings)
    private val loading = RevisionLoading()
    private val schedule = PeerSchedule(self.id)
    private val basis = ShareBasisWatch()
    private var platformMillis = Long.MIN_VALUE
    private var renewedMillis = Long.MIN_VALUE
    private var isOver = false

    /** The members that this host goes by. */
    public var record: MemberRecord = MemberRecord.NONE
        private set

    /** The members' addresses as the last scan of the leases showed them, which includes hosts that are joining. */
    public val leaseRows: List<LeaseRow> get() = leases.leases

    /** The revisions that this host knows of, or null before it knows any. */
    public val head: RevisionHead? get() = slots.head

    /** What this host knows of changes. */
    public val level: KnowledgeLevel
        get() = KnowledgeLevel(record.version, record.isSettled, slots.confirmedRevision)

    private var noticed = level

    init {
        confirmations.restart()
    }

    /** The period of this host's lease renewals. */
    public val leasePeriodMillis: Long get() = timings.leasePeriodMillis(record.all.size)

    /** True while this host may serve. Callers test it at each use, since a pause can end it at any time. */
    public fun isInStanding(nowMillis: Long): Boolean {
        if (isOver || self.id !in record || slots.accepted == null) return false
        if (hasPlatformEvidence(nowMillis)) return true
        val sinceMillis = nowMillis - timings.standingMillis
        return record.groups.all { group ->
            val hasSelf = group.any { it.id == self.id }
            val needed = Quorum.toStand(group.size) + if (hasSelf) 0 else 1
            attestations.countFresh(group, sinceMillis) >= needed
        }
    }

    /** The configuration in force, or null while its content is not here. */
    public val configuration: Configuration? get() = slots.accepted

    /** The content of a revision that another member asks for, or null. */
    public fun content(revision: Long): Configuration? =
        listOfNotNull(slots.accepted, slots.proposed).firstOrNull { it.revision == revision }

    /** Handles [event] and returns what is to be done. */
    public fun on(event: FleetEvent, nowMillis: Long): List<FleetAction> {
        val actions = ArrayList<FleetAction>()
        when (event) {
            FleetEvent.HeartbeatDue -> onBeat(nowMillis, actions)
            is FleetEvent.PlatformRead -> onPlatformRead(event, nowMillis, actions)
            FleetEvent.PlatformFailed -> polling.failed(nowMillis)
            is FleetEvent.ControlWriteEnded -> onControlWriteEnded(event)
            is FleetEvent.LeasesRead -> leases.read(event.leases, nowMillis)
            FleetEvent.Ended -> isOver = true
            is FleetEvent.RevisionLoaded -> slots.load(event.configuration)
            is FleetEvent.Question -> onQuestion(event, nowMillis, actions)
            is FleetEvent.Answer -> onAnswer(event, nowMillis, actions)
        }
        noticeLevel(nowMillis, actions)
        basis.update(record, slots)?.let { actions += FleetAction.InstallShares(it) }
        return actions
    }

    private fun onBeat(nowMillis: Long, actions: MutableList<FleetAction>) {
        questions.expire(nowMillis)
        askPeers(nowMillis, actions)
        val isFresh = { member: MemberId -> isFresh(member, nowMillis) }
        if (polling.isDue(record, isFresh, platformMillis, nowMillis)) {
            polling.started(nowMillis)
            actions += FleetAction.ReadPlatform
            if (polling.isRegular(record, isFresh) && steward.isScanDue(nowMillis)) actions += FleetAction.ReadLeases
        }
        if (!isOver && (renewedMillis == Long.MIN_VALUE || nowMillis - renewedMillis >= leasePeriodMillis)) {
            renewedMillis = nowMillis
            actions += FleetAction.RenewLease
        }
        actions += loading.due(slots.missing, from = null, nowMillis)
        writeIfDue(nowMillis, actions)
    }

    private fun writeIfDue(nowMillis: Long, actions: MutableList<FleetAction>) {
        if (!isOver) steward.next(level, nowMillis)?.let { actions += it }
    }

    private fun askPeers(nowMillis: Long, actions: MutableList<FleetAction>) {
        val isPending = !record.isSettled || slots.head?.proposed != null
        val count = if (isPending) PEERS_WHILE_PENDING else PEERS
        for (peer in schedule.next(record.all, count)) ask(peer, nowMillis, actions)
    }

    private fun ask(peer: MemberId, nowMillis: Long, actions: MutableList<FleetAction>) {
        actions += FleetAction.Ask(peer, PeerQuestion(questions.open(peer, nowMillis), level))
    }

    private fun onPlatformRead(event: FleetEvent.PlatformRead, nowMillis: Long, actions: MutableList<FleetAction>) {
        adopt(event.rows.record)
        slots.learn(event.rows.head)
        polling.succeeded()
        noticeLevel(nowMillis, actions)
        if (event.rows.head.highest <= slots.confirmedRevision) {
            platformMillis = maxOf(platformMillis, event.askedAtMillis)
        }
        actions += loading.due(slots.missing, from = null, nowMillis)
        steward.read(event.rows)
        writeIfDue(nowMillis, actions)
    }

    private fun onControlWriteEnded(event: FleetEvent.ControlWriteEnded) {
        val written = event.written ?: return
        adopt(written.record)
        slots.learn(written.head)
    }

    private fun onQuestion(event: FleetEvent.Question, nowMillis: Long, actions: MutableList<FleetAction>) {
        if (record.version == 0L || isOver) return
        val asked = event.question.level
        if (isSameChange(asked)) confirmations.add(event.from)
        val answer = PeerAnswer(
            questionId = event.question.questionId,
            level = level,
            head = slots.head ?: RevisionHead.NONE,
            record = record.takeIf { isNewerFor(asked) },
            ages = attestations.encode(record.all, nowMillis),
            confirmations = confirmations.encode(record.all),
            platformAgeMillis = if (hasPlatformEvidence(nowMillis)) nowMillis - platformMillis else null,
        )
        actions += FleetAction.Reply(event.from, answer)
        if (!asked.isWithin(level) && !questions.isOpenSince(event.from, nowMillis - timings.heartbeatMillis)) {
            ask(event.from, nowMillis, actions)
        }
    }

    private fun onAnswer(event: FleetEvent.Answer, nowMillis: Long, actions: MutableList<FleetAction>) {
        val answer = event.answer
        val askedAtMillis = questions.close(answer.questionId, event.from) ?: return
        answer.record?.let { adopt(it) }
        slots.learn(answer.head)
        noticeLevel(nowMillis, actions)
        actions += loading.due(slots.missing, event.from, nowMillis)
        if (!answer.level.isWithin(level)) return
        attestations.heard(event.from, askedAtMillis)
        answer.platformAgeMillis?.let { platformMillis = maxOf(platformMillis, askedAtMillis - it) }
        val isSameRecord = answer.level.recordVersion == record.version &&
            answer.level.isRecordSettled == record.isSettled
        if (isSameRecord) attestations.merge(record.all, answer.ages, askedAtMillis)
        if (isSameChange(answer.level)) {
            confirmations.add(event.from)
            if (isSameRecord) confirmations.merge(record.all, answer.confirmations)
        }
    }

    private fun adopt(newer: MemberRecord) {
        if (!newer.isNewerThan(record)) return
        record = newer
        attestations.retain(newer)
    }

    /** Forgets who confirmed the earlier level as soon as this host's level rises, before anyone is counted. */
    private fun noticeLevel(nowMillis: Long, actions: MutableList<FleetAction>) {
        val current = level
        val isChange = current.recordVersion != noticed.recordVersion ||
            current.confirmedRevision != noticed.confirmedRevision
        noticed = current
        if (!isChange) return
        confirmations.restart()
        askPeers(nowMillis, actions)
    }

    private fun isNewerFor(asked: KnowledgeLevel): Boolean = record.version > asked.recordVersion ||
        (record.version == asked.recordVersion && record.isSettled && !asked.isRecordSettled)

    private fun isSameChange(other: KnowledgeLevel): Boolean =
        other.recordVersion == record.version && other.confirmedRevision == slots.confirmedRevision

    private fun hasPlatformEvidence(nowMillis: Long) =
        platformMillis != Long.MIN_VALUE && nowMillis - platformMillis < timings.standingMillis

    private fun isFresh(member: MemberId, nowMillis: Long) =
        attestations.isFresh(member, nowMillis - timings.standingMillis)

    private companion object {
        const val PEERS = 2
        const val PEERS_WHILE_PENDING = 6
    }
}
