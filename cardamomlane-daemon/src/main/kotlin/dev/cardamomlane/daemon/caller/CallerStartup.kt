package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.wire.BackendWriter
import dev.cardamomlane.wire.FrontendMessage
import dev.cardamomlane.wire.MalformedMessageException
import dev.cardamomlane.wire.MessageLink
import dev.cardamomlane.wire.MessageListener
import dev.cardamomlane.wire.ServerError
import dev.cardamomlane.wire.StartupMessage
import dev.cardamomlane.wire.TransactionStatus
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.CorruptedFrameException
import io.netty.handler.codec.TooLongFrameException

/**
 * Handles the startup of one caller connection: TLS, user, database and key. A successful startup creates a
 * [CallerSession], to which all later frames are passed.
 *
 * @param transport switches the connection to TLS and to typed messages
 */
internal class CallerStartup(
    private val link: MessageLink,
    private val transport: CallerTransport,
    private val services: CallerServices,
    private val callerConnections: CallerConnections,
) : MessageListener {
    private var request: StartupMessage.Session? = null
    private var isEncrypted = false
    private var isOpening = false
    private var session: CallerSession? = null

    override fun onFrame(frame: ByteBuf) {
        val established = session
        if (established != null) return closeIfMalformed { established.onFrame(frame) }
        closeIfMalformed {
            try {
                if (!link.isOpen) return
                if (request == null) onStartup(StartupMessage.decode(frame)) else onPassword(frame)
            } finally {
                frame.release()
            }
        }
    }

    override fun onWritable() {
        session?.onWritable()
    }

    override fun onClosed(cause: Throwable?) {
        if (session == null) {
            if (cause is TooLongFrameException) fail(Refusals.malformed("startup message is too long"))
            if (cause is CorruptedFrameException) fail(Refusals.malformed(cause.message.orEmpty()))
        }
        session?.onClosed(cause)
        callerConnections.onClosed(this)
    }

    /** Ends the session as soon as it is in no transaction. Closes a connection without a session at once. */
    fun drain() {
        session?.drain() ?: fail(Refusals.draining())
    }

    private inline fun closeIfMalformed(action: () -> Unit) {
        try {
            action()
        } catch (error: MalformedMessageException) {
            session?.fail(Refusals.malformed(error.message.orEmpty()))
                ?: fail(Refusals.malformed(error.message.orEmpty()))
        }
    }

    private fun onStartup(message: StartupMessage) {
        when (message) {
            StartupMessage.TlsRequest -> onTlsRequest()
            StartupMessage.GssRequest -> link.send(Unpooled.wrappedBuffer(ENCRYPTION_REFUSED))
            is StartupMessage.Cancel -> {
                callerConnections.onCancel(message)
                link.close()
            }
            is StartupMessage.Unsupported ->
                fail(Refusals.malformed("protocol ${message.major}.${message.minor} is not supported"))
            is StartupMessage.Session -> onSession(message)
        }
    }

    private fun onTlsRequest() {
        if (!transport.offersTls || isEncrypted) {
            link.send(Unpooled.wrappedBuffer(ENCRYPTION_REFUSED))
            return
        }
        // What follows the request unencrypted may come from somebody between the caller and this host.
        if (transport.hasUnreadBytes) return fail(Refusals.malformed("data before the TLS handshake"))
        isEncrypted = true
        transport.startTls()
    }

    private fun onSession(message: StartupMessage.Session) {
        val database = message.parameters["database"] ?: message.parameters["user"].orEmpty()
        val refusal = when {
            callerConnections.isDraining -> Refusals.draining()
            message.parameters["user"].isNullOrBlank() -> Refusals.malformed("the startup message names no user")
            database.isBlank() || services.groups.group(DatabaseId(database)) == null ->
                Refusals.unknownDatabase(database)
            !isEncrypted && !services.settings.allowPlaintextKeys -> Refusals.malformed("a key requires TLS")
            else -> null
        }
        if (refusal != null) return fail(refusal)
        request = message
        transport.switchToTypedMessages(services.settings.maxMessageBytes)
        link.send(BackendWriter.cleartextPassword(link.allocator.buffer()))
    }

    private fun onPassword(frame: ByteBuf) {
        val message = FrontendMessage.decode(frame)
        if (message is FrontendMessage.Terminate) return link.close()
        if (message !is FrontendMessage.Password ||
            isOpening
        ) {
            return fail(Refusals.malformed("expected a password message"))
        }
        val configuration = services.gate.configuration() ?: return fail(Refusals.notReady())
        if (!services.gate.inStanding()) return fail(Refusals.notInGoodStanding())
        val customer = CustomerId(checkNotNull(request).parameters.getValue("user"))
        val key = if (message.text.isEmpty()) null else configuration.keys.identify(customer, message.text)
        if (key == null && message.text.isNotEmpty()) return fail(Refusals.invalidKey())
        isOpening = true
        openSession(CallerIdentity(customer, key))
    }

    private fun openSession(identity: CallerIdentity) {
        val parameters = checkNotNull(request).parameters
        val database = DatabaseId(parameters["database"] ?: parameters.getValue("user"))
        callerConnections.serverParameters.find(database).subscribe(
            { server -> completeStartup(identity, database, server + ownValues(parameters)) },
            { cause -> fail(Refusals.noTarget(cause.message.orEmpty())) },
        )
    }

    private fun completeStartup(identity: CallerIdentity, database: DatabaseId, reported: Map<String, String>) {
        if (!link.isOpen) return
        val parameters = checkNotNull(request).parameters
        val opened = CallerSession(
            link = link,
            identity = identity,
            group = checkNotNull(services.groups.group(database)),
            services = services,
            startupParameters = parameters,
            startPosition = StartupOptions.position(parameters["options"], database),
            onEnd = { callerConnections.onSessionEnd(it) },
        )
        session = opened
        val key = callerConnections.onSession(opened)
        val out = BackendWriter.authenticationOk(link.allocator.buffer())
        reported.forEach { (name, value) -> BackendWriter.parameterStatus(out, name, value) }
        BackendWriter.backendKeyData(out, key.processId, key.secretKey)
        link.send(BackendWriter.readyForQuery(out, TransactionStatus.IDLE))
    }

    /** The caller's own values of those parameters that a server reports at startup. */
    private fun ownValues(parameters: Map<String, String>): Map<String, String> =
        parameters.filterKeys { it in REPORTED }

    private fun fail(error: ServerError) {
        services.meters.onRefused(error.sqlState)
        link.send(BackendWriter.error(link.allocator.buffer(), error))
        link.close()
    }

    private companion object {
        val ENCRYPTION_REFUSED = byteArrayOf('N'.code.toByte())
        val REPORTED = setOf("application_name", "TimeZone", "DateStyle", "client_encoding")
    }
}
