package dev.cardamomlane.daemon.trace

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.tinylog.kotlin.Logger

/** Writes each span as a line of the log. */
internal class LogSpanExporter : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { Logger.info("trace: {}", line(it)) }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun line(span: SpanData): String {
        val micros = (span.endEpochNanos - span.startEpochNanos) / NANOS_PER_MICRO
        val attributes = span.attributes.asMap().entries.joinToString(" ") { "${it.key.key}=${it.value}" }
        return "${span.traceId} ${span.name} ${micros}us parent=${span.parentSpanId} $attributes"
    }

    private companion object {
        const val NANOS_PER_MICRO = 1_000
    }
}
