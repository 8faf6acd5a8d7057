package dev.cardamomlane.core.rules

import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.SourceLocation
import dev.cardamomlane.core.rules.RuleLine.Word

/**
 * Reads the words of one rule file line, which are flags and `key=value` settings. Adds each defect to [findings].
 *
 * @property context names the line, or part of it, in messages, such as `customer a`
 */
internal class KeyValueReader(private val context: String, private val findings: MutableList<Finding>) {
    private val values = LinkedHashMap<String, Word>()
    private val flags = LinkedHashMap<String, Word>()

    /**
     * Stores the settings whose key is in [keys] and the flags in [flagNames]. If a key or flag occurs twice, the
     * last one is kept.
     */
    fun read(words: List<Word>, keys: Set<String>, flagNames: Set<String> = emptySet()) {
        for (word in words) {
            val key = word.text.substringBefore('=')
            val isFlag = '=' !in word.text
            when {
                key !in keys && key !in flagNames -> add(word.location, unknownWordMessage(key, keys + flagNames))
                isFlag && key !in flagNames -> add(word.location, "\"$key\" in $context needs a value, as in $key=...")
                !isFlag && key !in keys -> add(word.location, "\"$key\" in $context takes no value")
                (if (isFlag) flags else values).put(key, word) != null -> add(word.location, "\"$key\" is given twice")
            }
        }
    }

    private fun unknownWordMessage(key: String, known: Set<String>) =
        "unknown word \"$key\" in $context, expected one of ${known.joinToString()}"

    fun flag(name: String): Word? = flags[name]

    fun has(key: String): Boolean = key in values

    /** Returns the location of the value of [key], or null if [key] is not set. */
    fun locationOf(key: String): SourceLocation? = values[key]?.let { it.locationAt(key.length + 1) }

    /**
     * Returns the value of [key] as converted by [parse], or null if [key] is not set. If [parse] returns null, adds a
     * finding that says that the value must be [form] and returns null.
     */
    fun <T : Any> value(key: String, form: String, parse: (String) -> T?): T? {
        val word = values[key] ?: return null
        val text = word.text.substring(key.length + 1)
        val value = parse(text)
        if (value == null) add(word.locationAt(key.length + 1), "$key=\"$text\" must be $form")
        return value
    }

    /**
     * Returns the comma-separated items of [key], each converted by [parse]. For an item for which [parse] returns
     * null, adds a finding that says that it must be [form] and leaves it out.
     */
    fun <T : Any> list(key: String, form: String, parse: (String) -> T?): List<T> {
        val word = values[key] ?: return emptyList()
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
