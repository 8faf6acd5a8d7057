package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.fleet.Configuration
import org.tinylog.kotlin.Logger

/** Records which revision is in force on this host and since which Unix time. */
internal class InForceTracker(private val wallClockMillis: () -> Long = System::currentTimeMillis) {
    var revision: Long? = null
        private set
    var sinceMillis: Long? = null
        private set

    fun update(configuration: Configuration?) {
        val current = configuration?.revision ?: return
        if (current == revision) return
        revision = current
        sinceMillis = wallClockMillis()
        Logger.info { "fleet: revision $current is in force" }
    }
}
