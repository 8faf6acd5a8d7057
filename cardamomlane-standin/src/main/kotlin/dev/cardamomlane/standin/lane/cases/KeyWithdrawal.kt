package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.caller.CallerAnswer
import dev.cardamomlane.standin.lane.host.SitePlan

/** A key is withdrawn from a caller that is inside a transaction. None of its later statements may run. */
internal class KeyWithdrawal : ReviewCase {
    override val site = SitePlan.GUILD

    override fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict {
        val record = installation.record
        val session = installation.connect("c", host = 0, customer = CUSTOMER)
        val probe = installation.connect("probe", host = 0, customer = CUSTOMER)
        val isOpen = session.run("BEGIN").isDone && session.run("WRITE 1a4 before").isDone
        if (!isOpen) return Verdict.NotRun("the transaction could not begin")
        if (hasTrouble) installation.setKeys(CUSTOMER, installation.customers[CUSTOMER].keys.drop(1))
        val withdrawnAtMillis = record.nowMillis
        val late = ArrayList<CallerAnswer>()
        while (record.nowMillis - withdrawnAtMillis < OPEN_MILLIS) {
            Thread.sleep(PAUSE_MILLIS)
            val isLate = record.nowMillis - withdrawnAtMillis > APPLY_MILLIS
            val answer = session.run("WRITE 1a4 after")
            if (isLate) late += answer
            if (probe.isOpen) probe.run("READ 1a4")
        }
        late += session.run("COMMIT")
        return verdict(late, hasTrouble)
    }

    private fun verdict(late: List<CallerAnswer>, hasTrouble: Boolean): Verdict {
        val runCount = late.count(CallerAnswer::isDone)
        if (!hasTrouble && runCount < late.size) return Verdict.NotRun("the transaction did not go on")
        val moment = if (hasTrouble) "the configuration without its key was acknowledged" else "it began"
        return Verdict.of(
            isBroken = hasTrouble && runCount > 0,
            "$runCount of ${late.size} statements that the caller sent later than $APPLY_MILLIS ms after $moment " +
                "were run by a target",
        )
    }

    private companion object {
        const val CUSTOMER = 3
        const val APPLY_MILLIS = 3_000
        const val OPEN_MILLIS = 8_000
        const val PAUSE_MILLIS = 2_000L
    }
}
