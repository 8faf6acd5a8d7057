package dev.cardamomlane.standin.session

import dev.cardamomlane.wire.ServerError

/** A statement failed and its session answers [error]. */
internal class SqlFailure(val error: ServerError) : RuntimeException(error.message)
