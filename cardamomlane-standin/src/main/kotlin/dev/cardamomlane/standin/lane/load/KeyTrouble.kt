package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.LaneInstallation
import java.io.IOException

/** Some customers have keys with blanks and line breaks, and some callers send a key with more behind it. */
internal class KeyTrouble(private val installation: LaneInstallation, private val history: LoadHistory) {
    /** Gives the customers their odd keys and waits until hosts can know them. */
    fun begin() {
        ODD_KEYS.forEachIndexed { customer, key ->
            installation.setKeys(customer, installation.customers[customer].keys + key)
        }
        Thread.sleep(APPLY_MILLIS)
    }

    /** Returns the odd key of customer number [customer], or its first one if it has no odd one. */
    fun keyOf(customer: Int): String = ODD_KEYS.getOrNull(customer) ?: installation.customers[customer].keys.first()

    /** Tries keys that no customer has. Blocks until [isOver] says so. */
    fun probe(isOver: () -> Boolean) {
        var count = 0
        while (!isOver()) {
            probe(count++)
            Thread.sleep(PROBE_MILLIS)
        }
    }

    private fun probe(number: Int) {
        val key = installation.customers[FIRST_PLAIN].keys.first() + BEHIND_KEY[number % BEHIND_KEY.size]
        val host = number % installation.hosts.size
        try {
            installation.connect("probe$number", host, FIRST_PLAIN, key = key).use {
                if (it.isOpen) history.onAdmitted(key) else history.onRefused("probe: ${it.refusal}")
            }
        } catch (e: IOException) {
            history.onRefused("probe: ${e.javaClass.simpleName}")
        }
    }

    private companion object {
        val ODD_KEYS = listOf("key of a", "key\nof\rb")
        const val FIRST_PLAIN = 2
        val BEHIND_KEY = listOf(" more", "\nmore", " ", "\r", "\nQUERY x READ 1a")
        const val APPLY_MILLIS = 3_500L
        const val PROBE_MILLIS = 300L
    }
}
