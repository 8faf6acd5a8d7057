package dev.cardamomlane.store

import reactor.core.publisher.Mono
import software.amazon.awssdk.auth.credentials.AwsBasicCredentials
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider
import software.amazon.awssdk.awscore.retry.AwsRetryStrategy
import software.amazon.awssdk.http.nio.netty.NettyNioAsyncHttpClient
import software.amazon.awssdk.http.nio.netty.SdkEventLoopGroup
import software.amazon.awssdk.regions.Region
import software.amazon.awssdk.services.dynamodb.DynamoDbAsyncClient
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/**
 * Holds the AWS SDK client and replaces it after a timeout.
 *
 * A pooled connection can stop carrying answers for good while new connections work. A new client opens new
 * connections. The old client is closed one timeout later, when its other requests have ended.
 */
internal class DynamoClient(private val settings: DynamoSettings) : AutoCloseable {
    private val eventLoops = SdkEventLoopGroup.builder().numberOfThreads(EVENT_LOOP_THREADS).build()
    private val current = AtomicReference(open())

    fun get(): DynamoDbAsyncClient = current.get()

    /** Replaces [unresponsive] by a new client, unless it has been replaced already. */
    fun replace(unresponsive: DynamoDbAsyncClient) {
        if (current.get() !== unresponsive) return
        val next = open()
        if (current.compareAndSet(unresponsive, next)) {
            Mono.delay(Duration.ofMillis(settings.timeoutMillis)).subscribe { unresponsive.close() }
        } else {
            next.close()
        }
    }

    private fun open(): DynamoDbAsyncClient {
        val timeout = Duration.ofMillis(settings.timeoutMillis)
        val http =
            NettyNioAsyncHttpClient.builder()
                .eventLoopGroup(eventLoops)
                .maxConcurrency(MAX_CONNECTIONS)
                .connectionTimeout(timeout)
                .connectionAcquisitionTimeout(timeout)
                .readTimeout(timeout)
                .writeTimeout(timeout)
        val credentials = AwsBasicCredentials.create(settings.accessKey, settings.secretKey)
        return DynamoDbAsyncClient.builder()
            .endpointOverride(settings.endpoint)
            .region(Region.of(settings.region))
            .credentialsProvider(StaticCredentialsProvider.create(credentials))
            .httpClientBuilder(http)
            .overrideConfiguration { it.retryStrategy(AwsRetryStrategy.doNotRetry()).apiCallTimeout(timeout) }
            .build()
    }

    override fun close() {
        current.get().close()
        eventLoops.eventLoopGroup().shutdownGracefully(0, settings.timeoutMillis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val MAX_CONNECTIONS = 16
    }
}
