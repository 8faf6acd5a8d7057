package dev.cardamomlane.engine

import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TimerService
import dev.cardamomlane.engine.statement.Access
import dev.cardamomlane.engine.statement.ErrorCode
import dev.cardamomlane.engine.statement.StatementError
import dev.cardamomlane.engine.statement.TargetAnswer
import dev.cardamomlane.engine.statement.TargetStatement
import dev.cardamomlane.engine.statement.TransactionState
import dev.cardamomlane.engine.target.TargetDialer
import dev.cardamomlane.engine.target.TargetEntry
import dev.cardamomlane.engine.target.TargetLink
import dev.cardamomlane.engine.target.TargetLinkListener
import dev.cardamomlane.engine.target.TargetStatus

/** The targets of one group in memory, with faults. Replicas don't replicate; tests set their positions. */
class FakeTargets(private val timers: TimerService) : TargetDialer {
    private val targetsById = HashMap<String, FakeTarget>()

    /** Called with each caller's statement that a target runs. */
    var onRun: (FakeTarget, String) -> Unit = { _, _ -> }

    /** Called with each write that a target commits. */
    var onCommit: (FakeTarget, String) -> Unit = { _, _ -> }

    /** Called with each caller's statement and commit that a target begins to run, and how long it takes. */
    var onBegin: (FakeLink, TargetStatement, Long) -> Unit = { _, _, _ -> }

    /** Called with each caller's statement and commit whose connection is closed before its answer is due. */
    var onCut: (FakeLink, TargetStatement) -> Unit = { _, _ -> }

    /** Called with each answer that a target sends to a statement, the first time it does. */
    var onAnswer: (FakeLink, TargetStatement, TargetAnswer) -> Unit = { _, _, _ -> }

    /** The text of each caller's statement that ran, or `COMMIT`, by its digest. */
    private val textsByDigest = HashMap<String, String>()

    /** Every connection that was dialed, in order. */
    val links = ArrayList<FakeLink>()

    /** The text of the caller's statement that a target ran under [digest], or null when none gave that digest. */
    fun textOf(digest: String?): String? = textsByDigest[digest]

    /** A new digest, of one length, since tests bound the bytes of messages that hold one. */
    private fun digestOf(text: String): String =
        textsByDigest.size.toString(DIGEST_RADIX).padStart(DIGEST_LENGTH, '0').also { textsByDigest[it] = text }

    fun target(id: String): FakeTarget = targetsById.getOrPut(id) { FakeTarget(id) }

    /** The network paths that lose everything, as `host/target`. */
    val partitionedPaths = HashSet<String>()

    /**
     * The dialer of one host, which [partitionedPaths] affect. Its connections carry nothing while not [isRunning], and
     * their events are passed to [whenAwake].
     */
    fun dialerFor(host: String, whenAwake: (() -> Unit) -> Unit, isRunning: () -> Boolean): TargetDialer =
        object : TargetDialer by this {
            override fun dial(target: TargetEntry, customerName: String, listener: TargetLinkListener): TargetLink =
                open(target, customerName, listener, host, whenAwake) {
                    !isRunning() || "$host/${target.id.value}" in partitionedPaths
                }
        }

    override fun dial(target: TargetEntry, customerName: String, listener: TargetLinkListener): TargetLink =
        open(target, customerName, listener, host = "", whenAwake = { it() }) { false }

    private fun open(
        target: TargetEntry,
        customerName: String,
        listener: TargetLinkListener,
        host: String,
        whenAwake: (() -> Unit) -> Unit,
        isPartitioned: () -> Boolean,
    ): FakeLink {
        val link = FakeLink(
            target = target(target.id.value),
            customerName = customerName,
            listener = listener,
            timers = timers,
            onRun = { ran, text -> onRun(ran, text) },
            onCommit = { committed, text -> onCommit(committed, text) },
            newDigest = ::digestOf,
            isPartitioned = isPartitioned,
            host = host,
            whenAwake = whenAwake,
        )
        link.onBegin = { statement, millis -> onBegin(link, statement, millis) }
        link.onCut = { onCut(link, it) }
        link.onAnswer = { statement, answer -> onAnswer(link, statement, answer) }
        links += link
        link.open()
        return link
    }

    override fun readStatus(answer: TargetAnswer): TargetStatus? = answer.rows.firstOrNull()?.split(' ')?.let {
        TargetStatus(
            isPrimary = it[0] == "primary",
            term = it[1].toLong(),
            received = LogPosition(it[1].toLong(), it[2].toLong()),
            applied = answer.position!!,
            lagMillis = 0,
            busyCount = 0,
            connectionCount = 0,
        )
    }

    private companion object {
        const val DIGEST_RADIX = 36
        const val DIGEST_LENGTH = 6
    }
}

/** One connection of [host] to a [FakeTarget]. */
class FakeLink(
    val target: FakeTarget,
    val customerName: String,
    private val listener: TargetLinkListener,
    private val timers: TimerService,
    private val onRun: (FakeTarget, String) -> Unit = { _, _ -> },
    private val onCommit: (FakeTarget, String) -> Unit = { _, _ -> },
    private val newDigest: (String) -> String = { it },
    private val isPartitioned: () -> Boolean = { false },
    val host: String = "",
    private val whenAwake: (() -> Unit) -> Unit = { it() },
) : TargetLink {
    var onBegin: (TargetStatement, Long) -> Unit = { _, _ -> }
    var onCut: (TargetStatement) -> Unit = {}
    var onAnswer: (TargetStatement, TargetAnswer) -> Unit = { _, _ -> }
    private val underWay = ArrayList<TargetStatement>()
    private var lastDueMillis = 0L
    private var isClosed = false

    /** True once the host has closed the connection. */
    var isClosedByHost = false
        private set
    private var state = TransactionState.IDLE
    private val openWrites = ArrayList<String>()

    /** True while a transaction is open at the target. */
    val isInTransaction: Boolean get() = !isClosed && state != TransactionState.IDLE
    val values = HashMap<String, String>()
    val plans = FakePlans()
    val sent = ArrayList<TargetStatement>()

    /** The statements that were refused or have their answers lost. */
    val unserved = ArrayList<TargetStatement>()

    fun open() {
        timers.after(CONNECT_MILLIS) {
            if (isClosed || target.isSilent || isPartitioned()) return@after
            val position = target.position
            if (target.isDown) disconnect() else whenAwake { if (!isClosedByHost) listener.onOpened(position) }
        }
    }

    /** Rolls an open transaction back without an answer, as a target that limits transactions does. */
    fun endTransaction() {
        state = TransactionState.IDLE
        openWrites.clear()
    }

    /** Ends the connection, as a network failure does. */
    fun disconnect() {
        if (isClosed) return
        isClosed = true
        whenAwake { if (!isClosedByHost) listener.onClosed() }
    }

    override fun send(statement: TargetStatement) {
        sent += statement
        val millis = target.durationMillis(statement)
        if (statement.hasCallersId()) {
            underWay += statement
            onBegin(statement, millis)
        }
        val nowMillis = timers.nowMillis()
        lastDueMillis = maxOf(lastDueMillis, nowMillis + millis)
        timers.after(lastDueMillis - nowMillis) {
            underWay -= statement
            if (!isClosed && !target.isSilent && !isPartitioned()) answer(statement)
        }
    }

    private fun answer(statement: TargetStatement) {
        val refusal = target.refuses(statement) ?: nextRefusal(statement)
        if (refusal != null) return refuse(statement, refusal)
        val after = statement.after()
        if (after != null && target.position < after) return refuse(statement, ErrorCode.LAGGING)
        if (statement.needsPrimary() && !target.isPrimary) return refuse(statement, ErrorCode.READ_ONLY)
        if (statement is TargetStatement.Execute && statement.executed() == null) {
            return refuse(statement, ErrorCode.UNKNOWN_STATEMENT)
        }
        if (statement is TargetStatement.Prepare && !plans.prepare(statement.name, statement.plan)) {
            return refuse(statement, ErrorCode.MALFORMED)
        }
        run(statement)
        if (statement.hasCallersId() && target.lostAnswers > 0) {
            target.lostAnswers--
            unserved += statement
            return
        }
        reply(statement, digest = digest(statement), rows = rows(statement))
    }

    private fun nextRefusal(statement: TargetStatement): ErrorCode? =
        if (statement.hasCallersId()) target.refusals.removeFirstOrNull() ?: target.refusesWith else null

    private fun digest(statement: TargetStatement): String? = when (statement) {
        is TargetStatement.Run -> newDigest(statement.text)
        is TargetStatement.Execute -> newDigest("${statement.name} ${statement.arguments}")
        is TargetStatement.Commit -> newDigest("COMMIT")
        else -> null
    }

    private fun refuse(statement: TargetStatement, code: ErrorCode) {
        unserved += statement
        reply(statement, error = StatementError(code, "test"))
    }

    private fun run(statement: TargetStatement) {
        when (statement) {
            is TargetStatement.Run -> runText(statement.text)
            is TargetStatement.Execute -> runPlan(checkNotNull(statement.executed()))
            is TargetStatement.Begin -> state = TransactionState.OPEN
            is TargetStatement.Commit -> {
                target.ran += "COMMIT"
                state = TransactionState.IDLE
                commit(openWrites)
            }
            is TargetStatement.Rollback -> {
                target.ran += "ROLLBACK"
                state = TransactionState.IDLE
                openWrites.clear()
            }
            is TargetStatement.SetValue -> values[statement.name] = statement.value
            is TargetStatement.Close -> plans.close(statement.name)
            is TargetStatement.Reset -> {
                values.clear()
                plans.clear()
            }
            is TargetStatement.Demote -> target.isPrimary = target.isPrimary && target.position.term >= statement.term
            else -> Unit
        }
    }

    private fun runPlan(executed: ExecutedPlan) {
        target.executed += executed
        runText(
            (if (executed.plan.access == Access.READ) "r_" else "w_") + "${executed.plan.shape} ${executed.arguments}",
        )
    }

    private fun TargetStatement.Execute.executed(): ExecutedPlan? = plans.find(name, arguments)

    private fun runText(text: String) {
        target.ran += text
        onRun(target, text)
        if (!isWrite(text)) return
        openWrites += text
        if (state == TransactionState.IDLE) commit(openWrites)
    }

    private fun commit(writes: MutableList<String>) {
        if (writes.isEmpty()) return
        for (write in writes) {
            target.log += write
            onCommit(target, write)
        }
        target.position = target.position.copy(offset = target.position.offset + 1)
        writes.clear()
    }

    private fun isWrite(text: String) = text.startsWith("WRITE") || text.startsWith("w_")

    private fun TargetStatement.needsPrimary(): Boolean = when (this) {
        is TargetStatement.Run -> isWrite(text)
        is TargetStatement.Execute -> executed()?.plan?.access == Access.WRITE
        is TargetStatement.Begin -> !isReadOnly
        is TargetStatement.Commit -> openWrites.isNotEmpty()
        else -> false
    }

    private fun rows(statement: TargetStatement): List<String> = when (statement) {
        is TargetStatement.Status, is TargetStatement.Demote ->
            listOf(
                "${if (target.isPrimary) "primary" else "replica"} ${target.position.term} ${target.position.offset}",
            )
        else -> target.rowsOf(statement)
    }

    private fun reply(
        statement: TargetStatement,
        rows: List<String> = emptyList(),
        digest: String? = null,
        error: StatementError? = null,
    ) {
        val answer = TargetAnswer(rows, digest, error, state, target.position)
        onAnswer(statement, answer)
        deliver(answer)
    }

    /** Sends [answer] once more; with the present state and position if [isRebuilt]. */
    fun repeat(answer: TargetAnswer, isRebuilt: Boolean = false) {
        if (isClosed || target.isSilent || isPartitioned()) return
        deliver(if (isRebuilt) answer.copy(state = state, position = target.position) else answer)
    }

    private fun deliver(answer: TargetAnswer) {
        whenAwake { if (!isClosedByHost) listener.onAnswer(answer) }
    }

    override fun close() {
        if (isClosed) return
        isClosed = true
        underWay.forEach(onCut)
        isClosedByHost = true
    }

    /** True for the statements that carry the id of a caller's statement. */
    private fun TargetStatement.hasCallersId(): Boolean =
        this is TargetStatement.Run || this is TargetStatement.Execute || this is TargetStatement.Commit

    private fun TargetStatement.after(): LogPosition? = when (this) {
        is TargetStatement.Run -> after
        is TargetStatement.Execute -> after
        is TargetStatement.Begin -> after
        else -> null
    }

    private companion object {
        const val CONNECT_MILLIS = 2L
    }
}
