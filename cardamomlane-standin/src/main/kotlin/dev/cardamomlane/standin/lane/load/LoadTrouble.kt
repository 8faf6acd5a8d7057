package dev.cardamomlane.standin.lane.load

import dev.cardamomlane.standin.lane.target.AnswerFaults
import dev.cardamomlane.standin.lane.target.AnswerKind
import dev.cardamomlane.standin.lane.wire.PlatformWords

/**
 * What is unusual in a load.
 *
 * @property oddShare the share of the fields and rows whose text is odd, of 1
 * @property repeatedKinds the answers that targets may send twice
 * @property repeatedShare the share of these answers that come twice, of 1
 * @property errorShares the shares of begins, reads, writes and commits that are refused with each code, of 1
 */
internal data class LoadTrouble(
    val oddShare: Double = 0.0,
    val repeatedKinds: Set<AnswerKind> = emptySet(),
    val repeatedShare: Double = 0.05,
    val errorShares: Map<String, Double> = emptyMap(),
) {
    /** Makes the targets of [faults] answer so. Must be called on their loop. */
    fun begin(faults: AnswerFaults, isStateRebuilt: Boolean) {
        faults.repeatRates = repeatedKinds.associateWith { repeatedShare }
        faults.isStateRebuilt = isStateRebuilt
        faults.errorRates = errorShares
    }

    companion object {
        /** All answers may come twice, beside a few errors. */
        val STUTTER by lazy { LoadTrouble(repeatedKinds = AnswerKind.entries.toSet(), errorShares = FEW_ERRORS) }
        val FEW_ERRORS =
            mapOf(PlatformWords.BUSY to 0.01, PlatformWords.LAGGING to 0.005, PlatformWords.FAILED to 0.005)
        val MANY_ERRORS = mapOf(PlatformWords.BUSY to 0.06, PlatformWords.LAGGING to 0.02, PlatformWords.FAILED to 0.02)
    }
}
