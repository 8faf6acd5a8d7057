package dev.cardamomlane.daemon.group

import org.junit.jupiter.api.AfterEach

internal class SqlTargetControlTest : TargetControlContract() {
    private val targets = StandinTargets()
    override val a = EventLoopTargetControl(targets.control("a"), targets.scheduler)
    override val b = EventLoopTargetControl(targets.control("b"), targets.scheduler)
    override val c = EventLoopTargetControl(targets.control("c"), targets.scheduler)

    @AfterEach
    fun close() = targets.close()
}
