package dev.cardamomlane.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.cardamomlane.core.codec.UntrustedJson
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.json.Json

/**
 * Decodes the JSON values of rows, which any other program may have written.
 *
 * No row makes it throw: the values that [deserializer] reads, and the types that they are converted to, may refuse
 * them with any exception.
 */
public class RowReader<T>(private val deserializer: DeserializationStrategy<T>) {
    /** Decodes the value of [row] and converts it, or says why that can't be done. */
    public fun <R> read(row: Row, convert: (T) -> R): Either<UnusableRow, R> =
        json.decode(deserializer, row.value).mapLeft { UnusableRow(row.key, it.reason) }.flatMap { value ->
            try {
                convert(value).right()
            } catch (failure: RuntimeException) {
                UnusableRow(row.key, failure.message ?: failure.javaClass.simpleName).left()
            }
        }

    private companion object {
        val json = UntrustedJson(Json { ignoreUnknownKeys = true })
    }
}
