package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.LaneInstallation
import dev.cardamomlane.standin.lane.host.SitePlan

/** One case of the review: a disruption, callers, and the check of a rule. */
internal interface ReviewCase {
    /** Where the case plays. */
    val site: SitePlan

    /**
     * Runs the case at an installation that has started. Blocks until its end.
     *
     * @param hasTrouble false leaves the disruption out, and then the rule must hold
     */
    fun run(installation: LaneInstallation, hasTrouble: Boolean): Verdict
}
