package dev.cardamomlane.daemon.caller

import dev.cardamomlane.daemon.target.InternalReplyHandler
import dev.cardamomlane.wire.FrontendWriter

/** Rolls back transactions that their session has given up. */
internal object TransactionCleanup {
    /** Rolls [transaction] back and returns its connection. Closes a connection that still awaits an answer instead. */
    fun rollBack(transaction: PinnedTransaction) {
        val connection = transaction.connection
        if (!connection.isOpen) return
        if (!connection.isIdle) return connection.close()
        val done = InternalReplyHandler(onReady = { transaction.dispatcher.release(connection) })
        connection.send(FrontendWriter.query(connection.allocator.buffer(), "ROLLBACK"), listOf(done))
    }
}
