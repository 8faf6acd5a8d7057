package dev.cardamomlane.daemon.trace

import dev.cardamomlane.daemon.settings.TraceMode
import dev.cardamomlane.daemon.settings.TraceSettings
import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter

/** Creates the OpenTelemetry instance for the configured trace mode. */
internal object Tracing {
    fun create(settings: TraceSettings, hostName: String): OpenTelemetry = when (settings.mode) {
        TraceMode.OFF -> OpenTelemetry.noop()
        TraceMode.LOG -> exporting(LogSpanExporter(), hostName)
        TraceMode.OTLP -> {
            val endpoint = checkNotNull(settings.endpoint) { "trace.endpoint is missing" }
            exporting(OtlpGrpcSpanExporter.builder().setEndpoint(endpoint.toString()).build(), hostName)
        }
    }

    private fun exporting(exporter: SpanExporter, hostName: String): OpenTelemetry {
        val resource = Resource.create(
            Attributes.builder().put("service.name", "cardamomlaned").put("host.name", hostName).build(),
        )
        val provider = SdkTracerProvider.builder()
            .setResource(resource)
            .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
            .build()
        return OpenTelemetrySdk.builder().setTracerProvider(provider).build()
    }
}
