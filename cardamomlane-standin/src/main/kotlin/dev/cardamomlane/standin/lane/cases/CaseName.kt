package dev.cardamomlane.standin.lane.cases

/** The cases by their names on the command line. */
internal enum class CaseName(val create: (seed: Long) -> ReviewCase) {
    SLOW_PROMOTION({ SlowPromotion() }),
    RELEASE_AND_KILL({ ReleaseAndKill() }),
    STOP_IN_TRANSACTION({ StopInTransaction() }),
    KEY_WITHDRAWAL({ KeyWithdrawal() }),
    FOREIGN_ROW({ ForeignRow() }),
    STEPPING_CLOCKS({ SteppingClocks(it) }),
}
