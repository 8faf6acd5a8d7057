package dev.cardamomlane.daemon.group

import dev.cardamomlane.core.TargetId

internal class MemoryTargetControlTest : TargetControlContract() {
    override val a = MemoryTargetControl(TargetId("a"), primary = TargetId("a"))
    override val b = MemoryTargetControl(TargetId("b"), primary = TargetId("a"))
    override val c = MemoryTargetControl(TargetId("c"), primary = TargetId("a"))
}
