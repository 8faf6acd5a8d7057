package dev.cardamomlane.daemon.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import dev.cardamomlane.core.AvailabilityZone
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.SourceLocation
import dev.cardamomlane.core.TargetId
import kotlinx.collections.immutable.toImmutableList
import java.net.URI

/** Reads the whole settings file and collects all findings, each with its line and column. */
internal class SettingsReader private constructor(private val file: String) {
    private val findings = mutableListOf<Finding>()

    private fun read(root: YamlMap): Settings {
        val node = SettingsNode(file, root, path = "", findings)
        val settings = Settings(
            host = host(node.section("host") ?: placeholder(root)),
            fleet = fleet(node.section("fleet") ?: placeholder(root)),
            platform = platform(node.section("platform") ?: placeholder(root)),
            targetUser = targetUser(node.section("targetUser") ?: placeholder(root)),
            callers = callers(node.optionalSection("callers") ?: placeholder(root)),
            trace = trace(node.optionalSection("trace") ?: placeholder(root)),
            databases = node.sections("databases").map { database(it) }.toImmutableList(),
        )
        node.finish()
        reportDuplicates(node, settings)
        return settings
    }

    /**
     * Returns an empty section in place of an absent one. Its findings are discarded, because the absence is either
     * allowed or already reported.
     */
    private fun placeholder(root: YamlMap): SettingsNode =
        SettingsNode(file, YamlMap(emptyMap(), root.path), path = "", mutableListOf())

    private fun host(node: SettingsNode) = HostSettings(
        name = HostId(name(node)),
        availabilityZone = AvailabilityZone(name(node, "availabilityZone")),
        callerAddress = node.address("callerAddress"),
        peerAddress = node.address("peerAddress"),
        adminAddress = node.address("adminAddress"),
    ).also { node.finish() }

    private fun fleet(node: SettingsNode) = FleetSettings(
        secret = name(node, "secret"),
        heartbeatMillis = node.number("heartbeatMillis", 50..1_000, default = 250),
    ).also { node.finish() }

    private fun platform(node: SettingsNode) = PlatformSettings(
        endpoint = uri(node, "endpoint"),
        table = name(node, "table"),
        region = name(node, "region"),
        accessKey = name(node, "accessKey"),
        secretKey = name(node, "secretKey"),
        hostListUrl = uri(node, "hostListUrl"),
    ).also { node.finish() }

    private fun targetUser(node: SettingsNode) =
        TargetUserSettings(name = name(node), password = printable(node, "password")).also { node.finish() }

    private fun callers(node: SettingsNode): CallerSettings {
        val settings = CallerSettings(
            allowPlaintextKeys = node.flag("allowPlaintextKeys", default = false),
            tlsCertificateFile = node.optionalText("tlsCertificateFile"),
            tlsKeyFile = node.optionalText("tlsKeyFile"),
            maxConnections = node.number("maxConnections", 1..100_000, default = 10_000),
            maxMessageBytes = node.number("maxMessageBytes", 1_024..256 * MEBIBYTE, default = 32 * MEBIBYTE),
            startDeadlineMillis = node.number("startDeadlineMillis", 10..60_000, default = 8_000),
            confirmTimeoutMillis = node.number("confirmTimeoutMillis", 10..60_000, default = 3_000),
            stallTimeoutMillis = node.number("stallTimeoutMillis", 100..600_000, default = 30_000),
            drainMillis = node.number("drainMillis", 0..600_000, default = 10_000),
        )
        if ((settings.tlsCertificateFile == null) != (settings.tlsKeyFile == null)) {
            node.reportAt("tlsCertificateFile", "and tlsKeyFile must be given together")
        }
        node.finish()
        return settings
    }

    private fun trace(node: SettingsNode): TraceSettings {
        val mode = node.choice("mode", TraceMode.OFF)
        val endpoint = if (mode == TraceMode.OTLP) uri(node, "endpoint") else null
        node.finish()
        return TraceSettings(mode, endpoint)
    }

    private fun database(node: SettingsNode) = DatabaseSettings(
        name = DatabaseId(name(node)),
        targets = node.sections("targets").map { target(it) }.toImmutableList(),
    ).also { node.finish() }

    private fun target(node: SettingsNode) = TargetSettings(
        name = TargetId(name(node)),
        availabilityZone = AvailabilityZone(name(node, "availabilityZone")),
        address = node.address("address"),
        slots = node.number("slots", 1..10_000),
        connections = node.number("connections", 1..100_000),
    ).also { node.finish() }

    private fun name(node: SettingsNode, key: String = "name"): String {
        val text = printable(node, key)
        if (text.isNotBlank()) return text
        if (node.isText(key)) node.reportAt(key, "must not be blank")
        return UNKNOWN_NAME
    }

    /** Reads a text without control characters: a zero byte can't be sent to a target, a line break forges log lines. */
    private fun printable(node: SettingsNode, key: String): String {
        val text = node.text(key)
        if (text.any { it.isISOControl() }) node.reportAt(key, "must not contain control characters")
        return text
    }

    private fun uri(node: SettingsNode, key: String): URI {
        val text = node.text(key)
        val uri = runCatching { URI(text) }.getOrNull()
        val isPortValid = uri != null && (uri.port == NO_PORT || uri.port in PORTS)
        if (uri?.host != null && isPortValid && uri.scheme in setOf("http", "https")) return uri
        if (node.isText(key)) node.reportAt(key, "must be an http or https address but is \"$text\"")
        return URI("http://127.0.0.1:1")
    }

    private fun reportDuplicates(node: SettingsNode, settings: Settings) {
        val names =
            settings.databases.map { it.name.value } + settings.databases.flatMap { it.targets }.map { it.name.value }
        names.filter { it != UNKNOWN_NAME }.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.forEach {
            node.reportAt("databases", "hold the name \"$it\" more than once")
        }
    }

    internal companion object {
        private const val UNKNOWN_NAME = "unknown"

        /** The port of a [URI] that gives none. */
        private const val NO_PORT = -1
        private val PORTS = 1..65_535
        private const val MEBIBYTE = 1 shl 20

        /** Reads [text] and returns its settings, or all findings if there are any. [file] is the name in findings. */
        fun read(file: String, text: String): Either<NonEmptyList<Finding>, Settings> {
            val root = parse(file, text).getOrElse { return nonEmptyListOf(it).left() }
            if (root !is YamlMap) {
                return nonEmptyListOf(
                    Finding(SourceLocation(file, 1, 1), "the file must hold sections"),
                ).left()
            }
            val reader = SettingsReader(file)
            val settings = reader.read(root)
            return reader.findings.toNonEmptyListOrNull()?.left() ?: settings.right()
        }

        private fun parse(file: String, text: String): Either<Finding, YamlNode> = try {
            Yaml.default.parseToYamlNode(text).right()
        } catch (error: YamlException) {
            // Some errors have no place, which the parser gives as 0.
            val location = SourceLocation(file, error.line.coerceAtLeast(1), error.column.coerceAtLeast(1))
            Finding(location, error.message).left()
        } catch (error: RuntimeException) {
            // The parser's own exceptions of the characters and the version of a file are no YamlException.
            Finding(SourceLocation(file, 1, 1), "the file can't be parsed: ${error.message}").left()
        } catch (_: StackOverflowError) {
            Finding(SourceLocation(file, 1, 1), "the file is nested too deeply").left()
        }
    }
}
