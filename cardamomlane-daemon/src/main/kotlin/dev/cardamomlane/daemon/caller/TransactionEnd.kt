package dev.cardamomlane.daemon.caller

import dev.cardamomlane.daemon.target.InternalReplyHandler
import dev.cardamomlane.wire.FrontendWriter

/** Ends transactions that their caller left behind. */
internal object TransactionEnd {
    /** Rolls [transaction] back and returns its connection. A connection with an open answer is closed in place. */
    fun rollBack(transaction: PinnedTransaction) {
        val connection = transaction.connection
        if (!connection.isOpen) return
        if (!connection.isIdle) return connection.close()
        val done = InternalReplyHandler(onReady = { transaction.lane.release(connection) })
        connection.send(FrontendWriter.query(connection.allocator.buffer(), "ROLLBACK"), listOf(done))
    }
}
