package dev.cardamomlane.core.rules

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.SourceLocation
import dev.cardamomlane.core.rules.RuleLine.Word
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap

/** Parses one rule file. An instance can be used for one call of [parse] only. */
internal class RuleFileParser(private val file: String) {
    private val findings = ArrayList<Finding>()
    private val rules = LinkedHashMap<String, Rule>()
    private val limits = LinkedHashMap<CustomerId, CustomerLimit>()

    /** The customers that rules name, each with its first location. */
    private val namedCustomers = LinkedHashMap<CustomerId, SourceLocation>()

    fun parse(text: String): Either<NonEmptyList<Finding>, RuleSet> {
        text.removeSuffix("\n").split('\n').forEachIndexed { index, line ->
            parseLine(RuleLine.read(file, index + 1, line.removeSuffix("\r")), lineNumber = index + 1)
        }
        checkCustomers()
        val ruleSet = RuleSet(rules.values.toImmutableList(), limits.toImmutableMap())
        if (findings.isEmpty()) checkShadowed(ruleSet)
        return sortedFindings().toNonEmptyListOrNull()?.left() ?: ruleSet.right()
    }

    private fun sortedFindings() = findings.sortedWith(compareBy({ it.location.line }, { it.location.column }))

    private fun parseLine(line: RuleLine, lineNumber: Int) {
        val keyword = line.words.firstOrNull() ?: return
        if (keyword.text != "rule" && keyword.text != "customer") {
            add(keyword.location, "a line must start with rule or customer but starts with \"${keyword.text}\"")
            return
        }
        if (line.requester.isNullOrEmpty()) {
            add(
                SourceLocation(file, lineNumber, line.endColumn),
                "the line must end with a comment that names who asked for it",
            )
        }
        val name = line.words.getOrNull(1)
        if (name == null || !NAME.matches(name.text)) {
            add(
                (name ?: keyword).location,
                "${keyword.text} needs a name of letters, digits, dots, dashes and underscores",
            )
            return
        }
        val rest = line.words.drop(2)
        if (keyword.text == "rule") parseRule(name, rest, line.requester.orEmpty()) else parseCustomer(name, rest)
    }

    private fun parseRule(name: Word, rest: List<Word>, requester: String) {
        if (rules.containsKey(name.text)) add(name.location, "rule ${name.text} is defined twice")
        val reader = RuleReader(name, findings)
        val rule = reader.read(rest, requester) ?: return
        rules.putIfAbsent(rule.name, rule)
        reader.customerLocations.forEach { (customer, location) -> namedCustomers.putIfAbsent(customer, location) }
    }

    private fun parseCustomer(name: Word, rest: List<Word>) {
        val customer = CustomerId(name.text)
        if (limits.containsKey(customer)) add(name.location, "customer $customer is defined twice")
        val reader = KeyValueReader("customer $customer", findings)
        reader.read(rest, keys = setOf("rate", "burst", "weight"))
        for (key in listOf("rate", "burst")) {
            if (!reader.has(key)) add(name.location, "customer $customer needs $key=...")
        }
        val rate = reader.value("rate", Quantities.RATE_FORM, Quantities::ratePerSecond)
        val burst = reader.value("burst", "a whole number from 1") { text ->
            Quantities.count(text)?.takeIf { it >= 1 }
        }
        val weight = reader.value("weight", "a whole number from 1 to $MAX_WEIGHT") { text ->
            Quantities.count(text)?.takeIf { it in 1..MAX_WEIGHT }
        }
        val limit = CustomerLimit(customer, rate ?: 1.0, (burst ?: 1).toDouble(), weight ?: 1)
        limits.putIfAbsent(customer, limit)
    }

    private fun checkCustomers() {
        for ((customer, location) in namedCustomers) {
            if (customer !in limits) add(location, "customer $customer has no customer line")
        }
    }

    private fun checkShadowed(ruleSet: RuleSet) {
        for ((rule, earlier) in ruleSet.index.shadowed) {
            add(
                rule.location,
                "rule ${rule.name} never matches: ${earlier.name} on line ${earlier.location.line} covers it",
            )
        }
    }

    private fun add(location: SourceLocation, message: String) {
        findings.add(Finding(location, message))
    }

    companion object {
        const val MAX_WEIGHT = 100
        val NAME = Regex("""[A-Za-z0-9_][A-Za-z0-9_.-]{0,62}""")
    }
}
