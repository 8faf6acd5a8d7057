package dev.cardamomlane.standin.lane.target

import dev.cardamomlane.core.ManualTimerService
import dev.cardamomlane.standin.lane.record.GroupHistory
import dev.cardamomlane.standin.lane.record.RunRecord
import dev.cardamomlane.standin.lane.store.RowStore
import dev.cardamomlane.standin.lane.store.StoreFaults
import java.io.StringWriter

/**
 * A group of the targets a, b and c, of which a leads. Time passes only when a test says so. In the history, other targets
 * belong to the group `annex`.
 */
internal class GroupFixture(settings: GroupSettings = GroupSettings("archive")) {
    val timers = ManualTimerService()
    val store = RowStore()
    val storeFaults = StoreFaults()
    val history = GroupHistory(RunRecord(StringWriter())) { if (group.find(it) == null) "annex" else settings.name }
    val group: TargetGroup = TargetGroup(settings, timers, StoreRegistry(store, storeFaults), history)
    val a = group.add("a", "kranj")
    val b = group.add("b", "maribor")
    val c = group.add("c", "koper")

    init {
        group.targets.forEach {
            it.address = "127.0.0.1:1"
            it.start()
        }
    }

    fun session(target: LaneTarget, startLine: String = "START archive club ${target.name}") =
        SessionFixture(target, timers).apply { send(startLine) }
}
