package dev.cardamomlane.daemon.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.SourceLocation
import java.net.InetSocketAddress

/**
 * One section of a settings file, read key by key.
 *
 * Every defect becomes a [Finding], and a placeholder value is returned so that reading goes on. Keys that were not
 * read before [finish] is called become findings too.
 */
internal class SettingsNode(
    private val file: String,
    private val map: YamlMap,
    private val path: String,
    private val findings: MutableList<Finding>,
) {
    private val entries: Map<String, Map.Entry<YamlScalar, YamlNode>> = map.entries.entries.associateBy {
        it.key.content
    }
    private val readKeys = mutableSetOf<String>()

    fun section(key: String): SettingsNode? = when (val node = required(key)) {
        null -> null
        is YamlMap -> SettingsNode(file, node, name(key), findings)
        else -> report(node, "${name(key)} must be a section")
    }

    fun optionalSection(key: String): SettingsNode? = if (has(key)) section(key) else null

    fun sections(key: String): List<SettingsNode> {
        val node = required(key) ?: return emptyList()
        if (node !is YamlList) return report(node, "${name(key)} must be a list") ?: emptyList()
        if (node.items.isEmpty()) report(node, "${name(key)} must not be empty")
        return node.items.mapIndexedNotNull { index, item ->
            val itemPath = "${name(key)}[$index]"
            if (item is YamlMap) {
                SettingsNode(
                    file,
                    item,
                    itemPath,
                    findings,
                )
            } else {
                report(item, "$itemPath must be a section")
            }
        }
    }

    fun text(key: String, default: String? = null): String = scalar(key, default).orEmpty()

    fun optionalText(key: String): String? = if (has(key)) scalar(key, default = null) else null

    fun number(key: String, range: IntRange, default: Int? = null): Int {
        val text = scalar(key, default?.toString()) ?: return range.first
        val value = text.toIntOrNull()
        if (value == null || value !in range) {
            report(
                entries[key]?.value ?: map,
                "${name(key)} must be a whole number from ${range.first} to ${range.last} but is \"$text\"",
            )
            return range.first
        }
        return value
    }

    fun flag(key: String, default: Boolean): Boolean {
        val text = scalar(key, default.toString()) ?: return default
        return text.toBooleanStrictOrNull()
            ?: report(entries[key]?.value ?: map, "${name(key)} must be true or false but is \"$text\"")
            ?: default
    }

    /** Reads an IP address and a port. Host names are not resolved. */
    fun address(key: String): InetSocketAddress {
        val text = scalar(key, default = null) ?: return UNKNOWN_ADDRESS
        return IpAddress.parse(text)
            ?: report(entries[key]?.value ?: map, "${name(key)} must be an IP address and a port but is \"$text\"")
            ?: UNKNOWN_ADDRESS
    }

    inline fun <reified E : Enum<E>> choice(key: String, default: E): E {
        val text = text(key, default.name.lowercase())
        val found = enumValues<E>().find { it.name.equals(text, ignoreCase = true) }
        if (found == null) {
            val names = enumValues<E>().joinToString(", ") { it.name.lowercase() }
            reportAt(key, "must be one of $names but is \"$text\"")
        }
        return found ?: default
    }

    /** Whether [key] has a single value. If not, that defect has already been reported. */
    fun isText(key: String): Boolean = entries[key]?.value is YamlScalar

    fun reportAt(key: String, message: String) {
        report(entries[key]?.value ?: map, "${name(key)} $message")
    }

    /** Reports the keys that were not read. */
    fun finish() {
        for ((key, entry) in entries) {
            if (key !in readKeys) report(entry.key, "unknown key ${name(key)}")
        }
    }

    private fun scalar(key: String, default: String?): String? {
        if (default != null && !has(key)) return default
        return when (val node = required(key)) {
            null -> null
            is YamlScalar -> node.content
            else -> report(node, "${name(key)} must be a single value")
        }
    }

    private fun has(key: String): Boolean {
        readKeys += key
        return entries[key]?.value.let { it != null && it !is YamlNull }
    }

    private fun required(key: String): YamlNode? =
        if (has(key)) entries.getValue(key).value else report(map, "missing key ${name(key)}")

    private fun name(key: String): String = if (path.isEmpty()) key else "$path.$key"

    private fun report(node: YamlNode, message: String): Nothing? {
        findings += Finding(SourceLocation(file, node.location.line, node.location.column), message)
        return null
    }

    private companion object {
        val UNKNOWN_ADDRESS: InetSocketAddress = InetSocketAddress.createUnresolved("unknown", 1)
    }
}
