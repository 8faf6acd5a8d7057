package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.load.LoadTrouble
import dev.cardamomlane.standin.lane.target.AnswerKind

/** The cases by their names on the command line. */
internal enum class CaseName(val create: (seed: Long) -> ReviewCase) {
    SLOW_PROMOTION({ SlowPromotion() }),
    RELEASE_AND_KILL({ ReleaseAndKill() }),

    /** Commits are spread over the first 2.5 s, so that some of them are made. */
    RELEASE_AND_KILL_SPREAD({ ReleaseAndKill { it * 80L } }),

    /** Half of the commits come soon enough to be made, half at the moments of RELEASE_AND_KILL. */
    RELEASE_AND_KILL_HALVES({ ReleaseAndKill(ReleaseAndKill::earlyOrLateMillis) }),
    STOP_IN_TRANSACTION({ StopInTransaction() }),
    SLOW_READERS({ SlowReaders(it) }),
    KEY_WITHDRAWAL({ KeyWithdrawal() }),
    FOREIGN_ROW({ ForeignRow() }),
    STEPPING_CLOCKS({ SteppingClocks(it) }),
    TEXTS({ LoadCase(it, LoadTrouble(oddShare = 0.5)) }),
    STUTTER({ LoadCase(it, LoadTrouble.STUTTER) }),

    /** Only answers of one kind come twice. */
    STUTTER_RUNS({ LoadCase(it, LoadTrouble(repeatedKinds = setOf(AnswerKind.RUN))) }),
    STUTTER_ERRORS({
        LoadCase(it, LoadTrouble(0.0, setOf(AnswerKind.ERROR), repeatedShare = 0.3, LoadTrouble.MANY_ERRORS))
    }),
    STUTTER_CONNECTIONS({ LoadCase(it, LoadTrouble(repeatedKinds = setOf(AnswerKind.CONNECTION))) }),
}
