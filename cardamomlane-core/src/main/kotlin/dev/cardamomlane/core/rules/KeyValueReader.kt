package dev.cardamomlane.core.rules

import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.SourceLocation
import dev.cardamomlane.core.rules.RuleLine.Word

/**
 * Reads the words of one line as flags and as `key=value` settings, and adds what is wrong to [findings].
 *
 * @property context names the line in messages, as in `rule browse`
 */
internal class KeyValueReader(private val context: String, private val findings: MutableList<Finding>) {
    private val settings = LinkedHashMap<String, Word>()
    private val flags = LinkedHashMap<String, Word>()

    fun read(words: List<Word>, keys: Set<String>, flagNames: Set<String> = emptySet()) {
        for (word in words) {
            val key = word.text.substringBefore('=')
            val isFlag = '=' !in word.text
            when {
                key !in keys && key !in flagNames -> add(word.location, unknown(key, keys + flagNames))
                isFlag && key !in flagNames -> add(word.location, "\"$key\" in $context needs a value, as in $key=...")
                !isFlag && key !in keys -> add(word.location, "\"$key\" in $context takes no value")
                (if (isFlag) flags else settings).put(
                    key,
                    word,
                ) != null -> add(word.location, "\"$key\" is given twice")
            }
        }
    }

    private fun unknown(key: String, known: Set<String>) =
        "unknown word \"$key\" in $context, expected one of ${known.joinToString()}"

    fun flag(name: String): Word? = flags[name]

    fun has(key: String): Boolean = key in settings

    fun locationOf(key: String): SourceLocation? = settings[key]?.let { it.locationAt(key.length + 1) }

    /** The value of [key] as read by [parse]; a finding and null when it has another form than [form]. */
    fun <T : Any> value(key: String, form: String, parse: (String) -> T?): T? {
        val word = settings[key] ?: return null
        val text = word.text.substring(key.length + 1)
        val value = parse(text)
        if (value == null) add(word.locationAt(key.length + 1), "$key=\"$text\" must be $form")
        return value
    }

    /** The comma-separated items of [key]; items of another form than [form] become findings. */
    fun <T : Any> list(key: String, form: String, parse: (String) -> T?): List<T> {
        val word = settings[key] ?: return emptyList()
        var offset = key.length + 1
        return word.text.substring(offset).split(',').mapNotNull { item ->
            val location = word.locationAt(offset)
            offset += item.length + 1
            parse(item).also { if (it == null) add(location, "$key=\"$item\" must be $form") }
        }
    }

    fun add(location: SourceLocation, message: String) {
        findings.add(Finding(location, message))
    }
}
