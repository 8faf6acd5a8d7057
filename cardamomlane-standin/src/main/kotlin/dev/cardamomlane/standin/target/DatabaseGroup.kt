package dev.cardamomlane.standin.target

import dev.cardamomlane.standin.settings.DatabaseSettings
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * The targets of one database. The first target starts as primary of term 1 and runs the initial statements.
 *
 * [lock] guards the [TargetState] of all its targets. Hold it for short steps only.
 */
internal class DatabaseGroup(val settings: DatabaseSettings) : AutoCloseable {
    val lock: ReentrantLock = ReentrantLock()
    val targets: List<Target> = settings.targets.map { Target(it, this) }
    val majority: Int = targets.size / 2 + 1

    fun find(name: String): Target? = targets.find { it.name == name }

    /** Starts the first primary and its replicas, and runs the initial statements. */
    fun start() {
        targets.forEach(Target::start)
        val primary = targets.first()
        primary.fence(FIRST_TERM, BOOTSTRAP)
        checkNotNull(primary.promote(FIRST_TERM, BOOTSTRAP)) { "target ${primary.name} can't start as primary" }
        targets.drop(1).forEach { it.follow(FIRST_TERM, primary.name) }
        primary.initialize(settings.initSql)
    }

    /** Makes the replication threads of all targets look for new records and state changes at once. */
    fun wakeReplicas() {
        targets.forEach(Target::wake)
    }

    inline fun <T> locked(action: () -> T): T = lock.withLock(action)

    override fun close() {
        targets.forEach(Target::close)
    }

    private companion object {
        const val FIRST_TERM = 1L
        const val BOOTSTRAP = "bootstrap"
    }
}
