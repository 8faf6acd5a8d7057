package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.host.SitePlan
import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * Another writer leaves rows among the entries of targets that no reader understands. Hosts must go on following the
 * table: the crash of the primary that follows has to lead to a promotion.
 */
internal class ForeignRow : ReviewCase {
    override val site = SitePlan.PRESS

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val platform = installation.platform
        if (hasTrouble) {
            ForeignRows.contents.forEachIndexed { index, content ->
                platform.onLoop { platform.store.put(PlatformWords.TARGET_TABLE, "x$index", content.toByteArray()) }
            }
            installation.record.line("${ForeignRows.contents.size} foreign rows are written")
        }
        Thread.sleep(READ_MILLIS)
        platform.onLoop { platform.primaryServer()?.crash() }
        val crashedAtMillis = installation.record.nowMillis
        while (installation.record.nowMillis - crashedAtMillis < PROMOTION_TIMEOUT_MILLIS) {
            val primary = platform.onLoop { platform.group.primary()?.name }
            val tookMillis = installation.record.nowMillis - crashedAtMillis
            if (primary != null) return Verdict.Held("$primary leads $tookMillis ms after the crash of the primary")
            Thread.sleep(POLL_MILLIS)
        }
        return Verdict.Broken(
            "no target was promoted within $PROMOTION_TIMEOUT_MILLIS ms after the crash of the primary",
        )
    }

    private companion object {
        const val READ_MILLIS = 2_000L
        const val PROMOTION_TIMEOUT_MILLIS = 15_000L
        const val POLL_MILLIS = 50L
    }
}
