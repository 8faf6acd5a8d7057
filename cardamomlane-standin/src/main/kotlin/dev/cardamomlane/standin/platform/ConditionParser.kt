package dev.cardamomlane.standin.platform

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.math.BigDecimal

/**
 * Parses conditions made of `attribute_exists`, `attribute_not_exists`, `begins_with`, comparisons of strings and
 * numbers, `AND`, `OR`, `NOT` and parentheses. Throws [TableError] for anything else.
 *
 * @param names the attribute names that stand for placeholders such as `#v`
 * @param values the values that stand for placeholders such as `:v`
 */
internal class ConditionParser(
    private val tokens: ConditionTokens,
    private val names: JsonObject,
    private val values: JsonObject,
) {
    fun parse(): Condition = parseOr().also {
        if (!tokens.isAtEnd) throw TableError.validation("unexpected \"${tokens.peek()}\" after the condition")
    }

    private fun parseOr(): Condition {
        var left = parseAnd()
        while (tokens.take("OR")) {
            val first = left
            val second = parseAnd()
            left = Condition { first.holds(it) || second.holds(it) }
        }
        return left
    }

    private fun parseAnd(): Condition {
        var left = parseNot()
        while (tokens.take("AND")) {
            val first = left
            val second = parseNot()
            left = Condition { first.holds(it) && second.holds(it) }
        }
        return left
    }

    private fun parseNot(): Condition {
        if (!tokens.take("NOT")) return parsePrimary()
        val inner = parseNot()
        return Condition { !inner.holds(it) }
    }

    private fun parsePrimary(): Condition = when {
        tokens.take("(") -> parseOr().also { tokens.expect(")") }
        tokens.take("attribute_exists") -> attribute().let { name -> Condition { it?.get(name) != null } }
        tokens.take("attribute_not_exists") -> attribute().let { name -> Condition { it?.get(name) == null } }
        tokens.take("begins_with") -> beginsWith()
        else -> comparison()
    }

    private fun attribute(): String {
        tokens.expect("(")
        return name(tokens.next()).also { tokens.expect(")") }
    }

    private fun beginsWith(): Condition {
        tokens.expect("(")
        val name = name(tokens.next())
        tokens.expect(",")
        val prefix = text(value(tokens.next())).orEmpty()
        tokens.expect(")")
        return Condition { item -> text(item?.get(name))?.startsWith(prefix) == true }
    }

    private fun comparison(): Condition {
        val name = name(tokens.next())
        val operator = tokens.next()
        val value = value(tokens.next())
        return Condition { item -> item?.get(name)?.let { compare(it, operator, value) } ?: (operator == "<>") }
    }

    private fun compare(left: JsonElement, operator: String, right: JsonElement): Boolean {
        val order = order(left, right) ?: return operator == "<>"
        return when (operator) {
            "=" -> order == 0
            "<>" -> order != 0
            "<" -> order < 0
            "<=" -> order <= 0
            ">" -> order > 0
            ">=" -> order >= 0
            else -> throw TableError.validation("unknown operator \"$operator\"")
        }
    }

    /** Compares two numbers or two strings. Returns null for values of other or different types. */
    private fun order(left: JsonElement, right: JsonElement): Int? {
        val leftNumber = number(left)
        val rightNumber = number(right)
        if (leftNumber != null && rightNumber != null) return leftNumber.compareTo(rightNumber)
        return text(left)?.let { leftText -> text(right)?.let(leftText::compareTo) }
    }

    private fun name(token: String): String = if (token.startsWith('#')) {
        names[token]?.jsonPrimitive?.content ?: throw TableError.validation("name $token is not defined")
    } else {
        token
    }

    private fun value(token: String): JsonElement =
        values[token] ?: throw TableError.validation("value $token is not defined")

    private fun text(value: JsonElement?): String? = value?.jsonObject?.get("S")?.jsonPrimitive?.content

    private fun number(value: JsonElement): BigDecimal? = value.jsonObject["N"]?.jsonPrimitive?.content?.toBigDecimal()
}
