package dev.cardamomlane.daemon.group

import org.junit.jupiter.api.AfterEach

internal class SqlTargetControlTest : TargetControlContract() {
    private val targets = StandinTargets()
    override val a = OnLoop(targets.control("a"), targets.scheduler)
    override val b = OnLoop(targets.control("b"), targets.scheduler)
    override val c = OnLoop(targets.control("c"), targets.scheduler)

    @AfterEach
    fun close() = targets.close()
}
