package dev.cardamomlane.standin.lane.cases

/** The cases by their names on the command line. */
internal enum class CaseName(val create: (seed: Long) -> ReviewCase) {
    SLOW_PROMOTION({ SlowPromotion() }),
    RELEASE_AND_KILL({ ReleaseAndKill() }),

    /** Commits are spread over the first 2.5 s, so that some of them are made. */
    RELEASE_AND_KILL_SPREAD({ ReleaseAndKill(firstCommitMillis = 0, commitStepMillis = 80) }),
    STOP_IN_TRANSACTION({ StopInTransaction() }),
    KEY_WITHDRAWAL({ KeyWithdrawal() }),
    FOREIGN_ROW({ ForeignRow() }),
    STEPPING_CLOCKS({ SteppingClocks(it) }),
}
