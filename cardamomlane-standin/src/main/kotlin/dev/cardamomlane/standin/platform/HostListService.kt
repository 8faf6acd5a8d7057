package dev.cardamomlane.standin.platform

import dev.cardamomlane.standin.settings.HostSettings
import java.util.concurrent.TimeUnit

/** The platform's list of hosts. Changes become visible after [lagMillis]. Safe for use by several threads. */
internal class HostListService(hosts: List<HostSettings>, private val lagMillis: Long) {
    private val current = LinkedHashMap(hosts.associateBy(HostSettings::host))
    private val listed = LinkedHashMap(current)
    private val changes = ArrayDeque<Change>()

    /** Returns the list with the changes that are visible now. */
    @Synchronized
    fun list(): List<HostSettings> {
        val nowNanos = System.nanoTime()
        while (changes.isNotEmpty() && changes.first().dueNanos - nowNanos <= 0) changes.removeFirst().applyTo(listed)
        return listed.values.toList()
    }

    /** Sets the state of [host]. Returns false if there is no such host. */
    @Synchronized
    fun setState(host: String, state: String): Boolean {
        val settings = current[host] ?: return false
        add(settings.copy(state = state))
        return true
    }

    /** Adds or replaces a host. */
    @Synchronized
    fun add(host: HostSettings) {
        current[host.host] = host
        changes += Change(dueNanos(), host.host, host)
    }

    /** Removes [host]. Returns false if there is no such host. */
    @Synchronized
    fun remove(host: String): Boolean {
        if (current.remove(host) == null) return false
        changes += Change(dueNanos(), host, entry = null)
        return true
    }

    private fun dueNanos() = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lagMillis)

    /** A change that becomes visible at [dueNanos]. A null [entry] removes the host. */
    private class Change(val dueNanos: Long, val host: String, val entry: HostSettings?) {
        fun applyTo(list: MutableMap<String, HostSettings>) {
            if (entry == null) list.remove(host) else list[host] = entry
        }
    }
}
