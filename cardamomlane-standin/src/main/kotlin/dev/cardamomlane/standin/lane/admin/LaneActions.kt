package dev.cardamomlane.standin.lane.admin

import dev.cardamomlane.standin.admin.AdminCall
import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.store.StoreCopy
import dev.cardamomlane.standin.lane.store.StoreOutage

/**
 * What an operator can do to an installation. Must be used on the loop of its platform.
 *
 * Each call throws [IllegalArgumentException] if its action or its object is unknown.
 */
internal class LaneActions(private val installation: LaneInstallation) {
    private val platform = installation.platform
    private var copy: StoreCopy? = null

    /** Changes the target [name]. */
    fun target(name: String, action: String, call: AdminCall) {
        val server = platform.server(name)
        val target = server.target
        when (action) {
            "crash" -> server.crash()
            "start" -> {
                require(!target.isRunning) { "target $name runs already" }
                server.start()
            }
            "drain" -> target.drain()
            "leave" -> server.leave()
            "lag" -> target.lagMillis = call.number("millis")
            "statement" -> target.statementMillis = call.number("millis")
            "lose-answers" -> target.loseAnswers(call.number("count").toInt())
            else -> unknown(action)
        }
    }

    /** Changes the faults of the store, or its past. */
    fun store(action: String, call: AdminCall) {
        val faults = platform.storeFaults
        when (action) {
            "outage" -> faults.outage = StoreOutage.valueOf(call.text("kind"))
            "slow" -> faults.slowMillis = call.number("millis")
            "lose-answers" -> faults.loseAnswers(call.number("count").toInt())
            "delay-writes" -> faults.delayWrites(call.number("count").toInt(), call.number("millis"))
            "discard-history" -> platform.store.discardHistory()
            "copy" -> copy = platform.store.copy()
            "restore" -> platform.store.restore(requireNotNull(copy) { "the store was not copied" })
            "heal" -> faults.heal()
            else -> unknown(action)
        }
    }

    /** Changes the faults of the promote call. */
    fun promotion(action: String, call: AdminCall) {
        val faults = platform.promotionFaults
        when (action) {
            "slow" -> faults.slowMillis = call.number("millis")
            "down" -> faults.isDown = true
            "heal" -> faults.heal()
            else -> unknown(action)
        }
    }

    /** Signals or starts the process of the host [name]. */
    fun host(name: String, action: String) {
        val host = installation.fleet.find(name)
        when (action) {
            "terminate" -> host.terminate()
            "kill" -> host.kill()
            "start" -> {
                require(!host.isAlive) { "host $name runs already" }
                host.start()
            }
            else -> unknown(action)
        }
    }

    /** Publishes a configuration in which the customer [name] has only [keys]. */
    fun keys(name: String, keys: List<String>) {
        val config = platform.operator.config
        require(config.customers.any { it.name == name }) { "no customer is called \"$name\"" }
        platform.operator.publish(config.withKeys(name, keys))
    }

    /** Writes a row as another writer does, with any [content]. */
    fun putRow(table: String, key: String, content: ByteArray) = platform.store.put(table, key, content)

    fun removeRow(table: String, key: String) = platform.store.remove(table, key)

    private fun unknown(action: String): Nothing = throw IllegalArgumentException("unknown action \"$action\"")
}
