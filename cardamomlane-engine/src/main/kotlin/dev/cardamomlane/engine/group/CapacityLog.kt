package dev.cardamomlane.engine.group

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.capacity.CapacityListener
import dev.cardamomlane.engine.log.DecisionLog
import java.util.Locale

/** Logs what is decided on the capacity of one target. */
internal class CapacityLog(private val target: TargetId, private val group: DatabaseId, private val log: DecisionLog) :
    CapacityListener {
    override fun onLimit(before: Double, after: Double) {
        log.event(
            "capacity", "limit_moved", "target", target.value, "group", group.value,
            "before", rounded(before), "after", rounded(after),
        )
    }

    override fun onUse(isInUse: Boolean, failureRate: Double) {
        val event = if (isInUse) "back_in_use" else "out_of_use"
        log.event(
            "capacity",
            event,
            "target",
            target.value,
            "group",
            group.value,
            "failure_rate",
            rounded(failureRate),
        )
    }

    private fun rounded(value: Double): String = String.format(Locale.ROOT, "%.2f", value)
}
