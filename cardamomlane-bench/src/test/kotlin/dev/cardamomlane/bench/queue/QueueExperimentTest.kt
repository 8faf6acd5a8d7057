package dev.cardamomlane.bench.queue

import dev.cardamomlane.core.queue.AdaptiveLimit
import dev.cardamomlane.core.queue.FairSlotQueue
import dev.cardamomlane.core.queue.FixedLimit
import kotlin.test.Test
import kotlin.test.assertTrue

class QueueExperimentTest {
    private val experiment = QueueExperiment(seed = 1, seconds = 20)

    @Test
    fun `with admission a customer at ten times its rate raises the p99 of others by at most a fifth`() {
        for ((name, hosts) in QueueExperiment.HOST_LOADS) {
            val factor =
                experiment.worstP99Factor(hosts, admission = true) {
                    FairSlotQueue(AdaptiveLimit(QueueExperiment.SLOTS))
                }

            assertTrue(factor <= 1.2, "$name: factor $factor")
        }
    }

    @Test
    fun `without admission a first-in-first-out queue exceeds that bound`() {
        val factor =
            experiment.worstP99Factor(listOf(1.0), admission = false) { FifoQueue(FixedLimit(QueueExperiment.SLOTS)) }

        assertTrue(factor > 1.2, "factor $factor")
    }
}
