package dev.cardamomlane.bench.report

import dev.cardamomlane.bench.DaemonEndpoint
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.time.Duration
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** Reads the processor time, resident memory and counters of one daemon. */
internal class DaemonMeter(private val daemon: DaemonEndpoint) {
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    /** Processor time used so far, or null when the operating system does not report it. */
    fun cpuMillis(): Long? =
        ProcessHandle.of(daemon.pid).flatMap { it.info().totalCpuDuration() }.map { it.toMillis() }.orElse(null)

    /** Resident memory in KiB, or null when the operating system does not report it. */
    fun residentKib(): Long? {
        val status = Path.of("/proc/${daemon.pid}/status")
        if (!status.exists()) return null
        val line = status.readLines().firstOrNull { it.startsWith("VmRSS:") } ?: return null
        return line.filter(Char::isDigit).toLong()
    }

    /** The sum of the counters named [name] whose labels contain [label]. */
    fun counter(name: String, label: String = ""): Double = metrics()
        .filter { it.startsWith("$name{") || it.startsWith("$name ") }
        .filter { label in it }
        .sumOf { it.substringAfterLast(' ').toDouble() }

    private fun metrics(): List<String> {
        val request = HttpRequest.newBuilder(
            URI("http://${daemon.admin}/metrics"),
        ).timeout(Duration.ofSeconds(3)).build()
        return http.send(request, HttpResponse.BodyHandlers.ofString()).body().lines()
    }
}
