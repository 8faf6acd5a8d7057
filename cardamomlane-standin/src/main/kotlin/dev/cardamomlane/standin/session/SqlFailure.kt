package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.ServerError

/** A statement failed. The session answers with [error]. */
internal class SqlFailure(val error: ServerError) : RuntimeException(error.message)
