package dev.cardamomlane.core.fleet

import kotlinx.collections.immutable.ImmutableList

/**
 * The fleet state machine of one host. It decides whether the host may serve, which members the fleet has, and which
 * revision of the configuration is in force. It does no I/O: [on] returns the actions to carry out.
 *
 * A host may serve only while it is in good standing, which is like holding a lease: it knows that it can't have missed
 * a change of the members or of the configuration that has taken effect. [isInStanding] defines the condition. A change
 * takes effect when every member has confirmed it, or [FleetTimings.settleMillis] after a majority has confirmed it: by
 * then every host that does not know of the change is out of good standing.
 *
 * Evidence that a peer relays counts with the age that the peer states. All times are on this host's monotonic clock
 * and count from the sending of the question.
 *
 * Not safe for use by several threads.
 */
public class FleetMachine(private val self: Member, private val timings: FleetTimings = FleetTimings()) {
    private val revisions = KnownRevisions()
    private val evidence = MemberEvidence(self.id)
    private val confirmations = Confirmations(self.id)
    private val questions = OpenQuestions()
    private val leases = LeaseMonitor(timings)
    private val planner = ControlWritePlanner(self, timings, leases, confirmations)
    private val polling = PlatformPolling(self.id, timings)
    private val loading = RevisionLoading()
    private val schedule = PeerSchedule(self.id)
    private val shareTableUpdater = ShareTableUpdater()
    private var platformReadAtMillis = Long.MIN_VALUE
    private var renewedAtMillis = Long.MIN_VALUE
    private var hasEnded = false

    /** The newest member record that this host knows. */
    public var record: MemberRecord = MemberRecord.NONE
        private set

    /** The leases, with the members' addresses, that the last scan returned. They include hosts that are joining. */
    public val leaseRows: List<LeaseRow> get() = leases.leases

    /** The newest revisions that this host knows of, or null before it has learned of any. */
    public val head: RevisionHead? get() = revisions.head

    /** How much this host knows of the fleet's changes. */
    public val level: KnowledgeLevel
        get() = KnowledgeLevel(record.version, record.isSettled, revisions.confirmedRevision)

    private var lastLevel = level

    init {
        confirmations.restart()
    }

    /** The period of this host's lease renewals, which grows with the number of members. */
    public val leasePeriodMillis: Long get() = timings.leasePeriodMillis(record.all.size)

    /**
     * True while this host is in good standing and so may take new work: its process has not ended, it is a member, it
     * has the configuration in force, and within the last [FleetTimings.standingMillis] it read the platform or got
     * answers from a majority of the recorded members, none of which showed a change that this host does not have.
     *
     * Callers must test it at each use, because a pause of the process can end it at any time.
     */
    public fun isInStanding(nowMillis: Long): Boolean {
        if (hasEnded || self.id !in record || revisions.accepted == null) return false
        if (hasPlatformEvidence(nowMillis)) return true
        val sinceMillis = nowMillis - timings.standingMillis
        return record.groups.all { group ->
            val hasSelf = group.any { it.id == self.id }
            val needed = Quorum.forStanding(group.size) + if (hasSelf) 0 else 1
            evidence.countFresh(group, sinceMillis) >= needed
        }
    }

    /** The configuration in force, or null while this host does not have its content. */
    public val configuration: Configuration? get() = revisions.accepted

    /** The content of [revision], which another member asked for, or null if this host does not have it. */
    public fun content(revision: Long): Configuration? =
        listOfNotNull(revisions.accepted, revisions.proposed).firstOrNull { it.revision == revision }

    /** Handles [event] at [nowMillis] and returns the actions to carry out. */
    public fun on(event: FleetEvent, nowMillis: Long): List<FleetAction> {
        val actions = ArrayList<FleetAction>()
        when (event) {
            FleetEvent.HeartbeatDue -> onHeartbeatDue(nowMillis, actions)
            is FleetEvent.PlatformRead -> onPlatformRead(event, nowMillis, actions)
            FleetEvent.PlatformFailed -> polling.failed(nowMillis)
            is FleetEvent.ControlWriteEnded -> onControlWriteEnded(event)
            is FleetEvent.LeasesRead -> leases.read(event.leases, nowMillis)
            FleetEvent.Ended -> hasEnded = true
            is FleetEvent.RevisionLoaded -> revisions.load(event.configuration)
            is FleetEvent.Question -> onQuestion(event, nowMillis, actions)
            is FleetEvent.Answer -> onAnswer(event, nowMillis, actions)
        }
        handleLevelChange(nowMillis, actions)
        shareTableUpdater.update(record, revisions)?.let { actions += FleetAction.InstallShares(it) }
        return actions
    }

    private fun onHeartbeatDue(nowMillis: Long, actions: MutableList<FleetAction>) {
        questions.expire(nowMillis)
        askPeers(nowMillis, actions)
        val isFresh = { member: MemberId -> isFresh(member, nowMillis) }
        if (polling.isDue(record, isFresh, platformReadAtMillis, nowMillis)) {
            polling.started(nowMillis)
            actions += FleetAction.ReadPlatform
            if (polling.isRegular(record, isFresh) && planner.isScanDue(nowMillis)) actions += FleetAction.ReadLeases
        }
        if (!hasEnded && (renewedAtMillis == Long.MIN_VALUE || nowMillis - renewedAtMillis >= leasePeriodMillis)) {
            renewedAtMillis = nowMillis
            actions += FleetAction.RenewLease
        }
        actions += loading.due(revisions.missing, from = null, nowMillis)
        writeIfDue(nowMillis, actions)
    }

    private fun writeIfDue(nowMillis: Long, actions: MutableList<FleetAction>) {
        if (!hasEnded) planner.next(level, nowMillis)?.let { actions += it }
    }

    private fun askPeers(nowMillis: Long, actions: MutableList<FleetAction>) {
        val isPending = !record.isSettled || revisions.head?.proposed != null
        val count = if (isPending) PEERS_PER_HEARTBEAT_WHILE_PENDING else PEERS_PER_HEARTBEAT
        for (peer in schedule.next(record.all, count)) ask(peer, nowMillis, actions)
    }

    private fun ask(peer: MemberId, nowMillis: Long, actions: MutableList<FleetAction>) {
        actions += FleetAction.Ask(peer, PeerQuestion(questions.open(peer, nowMillis), level))
    }

    private fun onPlatformRead(event: FleetEvent.PlatformRead, nowMillis: Long, actions: MutableList<FleetAction>) {
        adopt(event.rows.record)
        revisions.learn(event.rows.head)
        polling.succeeded()
        handleLevelChange(nowMillis, actions)
        if (event.rows.head.highest <= revisions.confirmedRevision) {
            platformReadAtMillis = maxOf(platformReadAtMillis, event.sentAtMillis)
        }
        actions += loading.due(revisions.missing, from = null, nowMillis)
        planner.read(event.rows)
        writeIfDue(nowMillis, actions)
    }

    private fun onControlWriteEnded(event: FleetEvent.ControlWriteEnded) {
        val written = event.written ?: return
        adopt(written.record)
        revisions.learn(written.head)
    }

    private fun onQuestion(event: FleetEvent.Question, nowMillis: Long, actions: MutableList<FleetAction>) {
        if (record.version == 0L || hasEnded) return
        val askerLevel = event.question.level
        if (isSameChange(askerLevel)) confirmations.add(event.from)
        val answer = PeerAnswer(
            questionId = event.question.questionId,
            level = level,
            head = revisions.head ?: RevisionHead.NONE,
            record = record.takeIf { isNewerFor(askerLevel) },
            ages = evidence.encode(record.all, nowMillis),
            confirmations = confirmations.encode(record.all),
            platformAgeMillis = if (hasPlatformEvidence(nowMillis)) nowMillis - platformReadAtMillis else null,
        )
        actions += FleetAction.Reply(event.from, answer)
        if (!askerLevel.isWithin(level) && !questions.isOpenSince(event.from, nowMillis - timings.heartbeatMillis)) {
            ask(event.from, nowMillis, actions)
        }
    }

    private fun onAnswer(event: FleetEvent.Answer, nowMillis: Long, actions: MutableList<FleetAction>) {
        val answer = event.answer
        val sentAtMillis = questions.close(answer.questionId, event.from) ?: return
        answer.record?.let { adopt(it) }
        revisions.learn(answer.head)
        handleLevelChange(nowMillis, actions)
        actions += loading.due(revisions.missing, event.from, nowMillis)
        if (!answer.level.isWithin(level)) return
        evidence.update(event.from, sentAtMillis)
        answer.platformAgeMillis?.let { platformReadAtMillis = maxOf(platformReadAtMillis, sentAtMillis - it) }
        val isSameRecord = answer.level.recordVersion == record.version &&
            answer.level.isRecordSettled == record.isSettled
        if (isSameRecord) evidence.merge(record.all, answer.ages, sentAtMillis)
        if (isSameChange(answer.level)) {
            confirmations.add(event.from)
            if (isSameRecord) confirmations.merge(record.all, answer.confirmations)
        }
    }

    private fun adopt(newer: MemberRecord) {
        if (!newer.isNewerThan(record)) return
        record = newer
        evidence.retain(newer)
    }

    /** If this host's level rose, discards the confirmations of the earlier level before any are counted again. */
    private fun handleLevelChange(nowMillis: Long, actions: MutableList<FleetAction>) {
        val current = level
        val isChange = current.recordVersion != lastLevel.recordVersion ||
            current.confirmedRevision != lastLevel.confirmedRevision
        lastLevel = current
        if (!isChange) return
        confirmations.restart()
        askPeers(nowMillis, actions)
    }

    private fun isNewerFor(askerLevel: KnowledgeLevel): Boolean = record.version > askerLevel.recordVersion ||
        (record.version == askerLevel.recordVersion && record.isSettled && !askerLevel.isRecordSettled)

    private fun isSameChange(other: KnowledgeLevel): Boolean =
        other.recordVersion == record.version && other.confirmedRevision == revisions.confirmedRevision

    private fun hasPlatformEvidence(nowMillis: Long) =
        platformReadAtMillis != Long.MIN_VALUE && nowMillis - platformReadAtMillis < timings.standingMillis

    private fun isFresh(member: MemberId, nowMillis: Long) =
        evidence.isFresh(member, nowMillis - timings.standingMillis)

    private companion object {
        const val PEERS_PER_HEARTBEAT = 2
        const val PEERS_PER_HEARTBEAT_WHILE_PENDING = 6
    }
}
