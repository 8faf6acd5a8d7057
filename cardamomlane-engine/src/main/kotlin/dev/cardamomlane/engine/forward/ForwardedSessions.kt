package dev.cardamomlane.engine.forward

import dev.cardamomlane.core.session.LogCommit
import dev.cardamomlane.engine.session.CallerLink
import dev.cardamomlane.engine.session.CallerSession

/** Opens the sessions in which a member runs the operations that other hosts forward to it. */
internal interface ForwardedSessions {
    /** The newest configuration that this host knows. */
    val configurationVersion: Long

    /** The own commit that [start] names, for hosts of earlier builds, or null when it names none. */
    fun lastCommit(start: OperationStart): LogCommit?

    /** The hint for other operations like the one that [start] began, or null when all of them are to be sent. */
    fun hint(start: OperationStart): SendHint?

    /** Counts [count] operations like the one that [start] begins, which the sender has refused, as demand. */
    fun onRefusedByHint(start: OperationStart, count: Int)

    /** Opens a session that serves one operation, or returns null when this host takes no operations now. */
    fun open(link: CallerLink, database: String, key: String?): CallerSession?

    /** Ends a session that [open] returned. */
    fun close(session: CallerSession)

    /** The connection behind [operations] has ended. */
    fun onLinkClosed(operations: IncomingOperations)
}
