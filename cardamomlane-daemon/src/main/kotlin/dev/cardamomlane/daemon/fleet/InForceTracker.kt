package dev.cardamomlane.daemon.fleet

import dev.cardamomlane.core.fleet.Configuration
import org.tinylog.kotlin.Logger

/** Notes since when the revision in force has been in force on this host. */
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
