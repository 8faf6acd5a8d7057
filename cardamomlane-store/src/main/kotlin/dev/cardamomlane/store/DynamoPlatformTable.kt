package dev.cardamomlane.store

import arrow.core.Either
import kotlinx.collections.immutable.toImmutableList
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import software.amazon.awssdk.core.exception.ApiCallTimeoutException
import software.amazon.awssdk.core.exception.SdkException
import software.amazon.awssdk.services.dynamodb.DynamoDbAsyncClient
import software.amazon.awssdk.services.dynamodb.model.AttributeValue
import software.amazon.awssdk.services.dynamodb.model.IdempotentParameterMismatchException
import software.amazon.awssdk.services.dynamodb.model.QueryResponse
import software.amazon.awssdk.services.dynamodb.model.TransactionCanceledException

/**
 * A [PlatformTable] that uses the DynamoDB API through the asynchronous AWS SDK client.
 *
 * Each operation sends one request, except for [scan], which sends one for each page. Requests are not retried, because
 * only the caller knows for how long an answer is of use. Reads are strongly consistent.
 */
public class DynamoPlatformTable(private val settings: DynamoSettings) :
    PlatformTable,
    AutoCloseable {
    private val clientHolder = DynamoClient(settings)
    private val log = RateLimitedLog()

    override fun get(key: String): Mono<Row> {
        RowKeys.requireValid(key)
        return request { client ->
            Mono.fromFuture {
                client.getItem { it.tableName(settings.tableName).key(DynamoItems.key(key)).consistentRead(true) }
            }
        }.flatMap { if (it.hasItem()) usable(DynamoItems.row(it.item())) else Mono.empty() }
            .doOnNext { requireAsked(it.key == key, it) }
    }

    override fun scan(prefix: String): Flux<Row> {
        require('/' in prefix) { "prefix \"$prefix\" must contain a slash" }
        val condition = DynamoItems.prefixCondition(prefix)
        return request { client ->
            page(client, condition, after = emptyMap())
                .expand {
                    if (it.hasLastEvaluatedKey()) page(client, condition, it.lastEvaluatedKey()) else Mono.empty()
                }
                .concatMapIterable { it.items() }
                .mapNotNull<Row> { item ->
                    DynamoItems.row(item).onLeft { log.warn("table: row ${it.key} is left out", it.reason) }.getOrNull()
                }
                .doOnNext { requireAsked(it.key.startsWith(prefix), it) }
                .collectList()
        }.flatMapIterable { it }
    }

    /** Answers carry no id: one that came twice would be taken for the next request's. */
    private fun requireAsked(isAsked: Boolean, row: Row) {
        if (!isAsked) {
            throw PlatformUnavailableException(
                "table $settings: the answer holds ${row.key} of another request",
            )
        }
    }

    private fun usable(read: Either<UnusableRow, Row>): Mono<Row> =
        read.fold({ Mono.error(it.toException()) }, { Mono.just(it) })

    private fun page(
        client: DynamoDbAsyncClient,
        condition: DynamoItems.PrefixCondition,
        after: Map<String, AttributeValue>,
    ): Mono<QueryResponse> = Mono.fromFuture {
        client.query {
            it.tableName(settings.tableName)
                .keyConditionExpression(condition.expression)
                .expressionAttributeValues(condition.values)
                .consistentRead(true)
            if (after.isNotEmpty()) it.exclusiveStartKey(after)
        }
    }

    override fun write(writes: List<ConditionalWrite>, token: String): Mono<WriteOutcome> {
        WriteRequests.requireValid(writes, token)
        val items = writes.map { DynamoItems.transactItem(it, settings.tableName) }
        return request { client ->
            Mono.fromFuture { client.transactWriteItems { it.transactItems(items).clientRequestToken(token) } }
                .map<WriteOutcome> { WriteOutcome.Applied }
                .onErrorResume(TransactionCanceledException::class.java) { conflictIn(it, writes) }
        }
    }

    private fun conflictIn(error: TransactionCanceledException, writes: List<ConditionalWrite>): Mono<WriteOutcome> {
        val codes = error.cancellationReasons().map { it.code() }
        val changed = writes.zip(codes).filter { (_, code) -> code == CHECK_FAILED }.map { (write, _) -> write.key }
        val isConflict = changed.isNotEmpty() || TRANSACTION_CONFLICT in codes
        return if (isConflict) Mono.just(WriteOutcome.Conflict(changed.toImmutableList())) else Mono.error(error)
    }

    private fun <T : Any> request(send: (DynamoDbAsyncClient) -> Mono<T>): Mono<T> = Mono.defer {
        val client = clientHolder.get()
        send(client)
            .doOnError(ApiCallTimeoutException::class.java) { clientHolder.replace(client) }
            .onErrorMap(::translate)
    }

    private fun translate(error: Throwable): Throwable = when (error) {
        is IdempotentParameterMismatchException -> IllegalArgumentException(
            "token was used for other writes",
            error,
        )
        is SdkException -> PlatformUnavailableException("table $settings: ${error.message}", error)
        else -> error
    }

    override fun close() {
        clientHolder.close()
    }

    private companion object {
        const val CHECK_FAILED = "ConditionalCheckFailed"
        const val TRANSACTION_CONFLICT = "TransactionConflict"
    }
}
