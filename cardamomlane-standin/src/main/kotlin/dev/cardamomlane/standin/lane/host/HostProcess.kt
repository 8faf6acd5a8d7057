package dev.cardamomlane.standin.lane.host

import dev.cardamomlane.standin.lane.record.RunRecord
import dev.cardamomlane.standin.lane.wire.PlatformWords
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/**
 * The process of one host, which can be ended and started again. Settings and log stand in [directory].
 *
 * @param command the program and its arguments
 * @param variables further variables of its environment; in their values `{host}` stands for its name and `{dir}` for
 *   [directory]
 */
internal class HostProcess(
    val plan: HostPlan,
    private val settings: HostSettingsFile,
    private val command: List<String>,
    private val directory: Path,
    private val record: RunRecord,
    private val variables: Map<String, String> = emptyMap(),
) {
    @Volatile
    private var process: Process? = null
    private var isEnded = false

    val isAlive: Boolean get() = process?.isAlive == true

    /** Starts the process. Throws [IOException] if it can't be started. Has no effect after [end]. */
    @Synchronized
    fun start() {
        check(!isAlive) { "host ${plan.name} runs already" }
        if (isEnded) return
        val file = directory.resolve("${plan.name}.conf").apply { writeText(settings.text(plan)) }
        val log = directory.resolve("${plan.name}.log").toFile()
        val builder = ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment().keys.retainAll(INHERITED_VARIABLES)
        builder.environment()["CARDAMOMLANE_CONFIG"] = file.toString()
        variables.forEach { (name, value) -> builder.environment()[name] = resolve(value) }
        process = builder.start()
        record.line("host ${plan.name} starts")
    }

    private fun resolve(value: String) = value.replace("{host}", plan.name).replace("{dir}", directory.toString())

    /**
     * Sends SIGTERM, and SIGKILL after [graceMillis] if the process still runs. The result completes with the exit code
     * when it has ended.
     */
    fun terminate(graceMillis: Long = 6_000): CompletableFuture<Int> {
        val ending = checkNotNull(process) { "host ${plan.name} was not started" }
        record.line("host ${plan.name} gets SIGTERM")
        ending.destroy()
        CompletableFuture.delayedExecutor(graceMillis, TimeUnit.MILLISECONDS).execute {
            if (ending.isAlive) ending.destroyForcibly()
        }
        return ending.onExit().thenApply { ended ->
            record.line("host ${plan.name} has ended with ${ended.exitValue()}")
            ended.exitValue()
        }
    }

    /** Stops the process until [resume], as a machine that is frozen. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        record.line("host ${plan.name} gets SIG$name")
        val pid = process?.pid() ?: return
        ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
    }

    /** Sends SIGKILL. Does not wait for its end. */
    fun kill() {
        record.line("host ${plan.name} gets SIGKILL")
        process?.destroyForcibly()
    }

    /** Ends the process by SIGKILL for good, without an entry in the record. Blocks for a few seconds at most. */
    @Synchronized
    fun end() {
        isEnded = true
        process?.destroyForcibly()?.waitFor(END_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Asks the process whether it is ready. Blocks for up to a second. */
    fun isReady(): Boolean = get(PlatformWords.READY_PATH) { responseCode == HttpURLConnection.HTTP_OK } ?: false

    /** Returns the metrics of the process as text, or null if it gives none. Blocks for up to a second. */
    fun metrics(): String? = get(METRICS_PATH) { inputStream.bufferedReader().readText() }

    private fun <T> get(path: String, read: HttpURLConnection.() -> T): T? = try {
        val call = URI("http://${plan.readyAddress}$path").toURL().openConnection() as HttpURLConnection
        call.connectTimeout = PROBE_TIMEOUT_MILLIS
        call.readTimeout = PROBE_TIMEOUT_MILLIS
        call.read().also { call.disconnect() }
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val METRICS_PATH = "/metrics"
        const val PROBE_TIMEOUT_MILLIS = 500
        const val END_TIMEOUT_MILLIS = 5_000L
        val INHERITED_VARIABLES = listOf("PATH", "HOME", "JAVA_HOME", "LANG")
    }
}
