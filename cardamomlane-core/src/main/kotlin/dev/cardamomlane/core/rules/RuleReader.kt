package dev.cardamomlane.core.rules

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.SourceLocation
import dev.cardamomlane.core.rules.RuleLine.Word
import kotlinx.collections.immutable.toImmutableList

/** Parses the words of a rule line that follow the name of the rule. Adds each defect to [findings]. */
internal class RuleReader(private val name: Word, private val findings: MutableList<Finding>) {
    private val criteria = KeyValueReader("the criteria of rule ${name.text}", findings)
    private val actions = KeyValueReader("the actions of rule ${name.text}", findings)

    /** The first location of each customer that the rule names. */
    val customerLocations = LinkedHashMap<CustomerId, SourceLocation>()

    /** Returns the rule, or null if the line has a defect. */
    fun read(words: List<Word>, requester: String): Rule? {
        val findingsBefore = findings.size
        val colon = words.indexOfFirst { it.text == ":" }
        if (colon < 0) {
            add(
                words.lastOrNull()?.location ?: name.location,
                "rule ${name.text} needs \" : \" between criteria and actions",
            )
            return null
        }
        criteria.read(words.take(colon), CRITERIA)
        actions.read(words.drop(colon + 1), ACTIONS, FLAGS)
        val rule = build(requester)
        return rule.takeIf { findings.size == findingsBefore }
    }

    private fun build(requester: String): Rule {
        val access = criteria.value("statement", "read or write") { text -> ACCESSES.find { it.word == text } }
        val rule =
            Rule(
                name = name.text,
                databases = databases().ifEmpty { listOf(DatabasePattern.ANY) }.toImmutableList(),
                tables = tables().toImmutableList(),
                customers = customers().toImmutableList(),
                marker = criteria.value("marker", "letters, digits, dashes and underscores", ::marker),
                access = access,
                priorityClass = priorityClass(),
                maxAgeMillis = actions.value("age", Quantities.AGE_FORM, Quantities::ageMillis),
                repeatable = actions.flag("repeatable") != null,
                open = actions.flag("open") != null,
                requester = requester,
                location = name.location,
            )
        checkConflicts(rule)
        return rule
    }

    private fun databases(): List<DatabasePattern> =
        criteria.list("database", "a name, or a prefix and a star") { text ->
            text.takeIf { DATABASE.matches(it) }?.let(::DatabasePattern)
        }

    private fun customers(): List<CustomerId> {
        val location = criteria.locationOf("customer")
        val named = criteria.list("customer", "customer names, or * alone") { text ->
            text.takeIf { it == "*" || RuleFileParser.NAME.matches(it) }?.let(::CustomerId)
        }
        val hasStar = named.any { it.value == "*" }
        if (hasStar && named.size > 1 && location != null) add(location, "customer=* must stand alone")
        val customers = if (hasStar) emptyList() else named
        if (location != null) customers.forEach { customerLocations.putIfAbsent(it, location) }
        return customers
    }

    private fun tables(): List<String> = criteria.list("table", "a table name in lower case") { text ->
        text.takeIf { TABLE.matches(it) && it == it.lowercase() }
    }

    private fun marker(text: String): String? = text.takeIf { MARKER.matches(it) }

    private fun priorityClass(): Int {
        if (!actions.has("class")) add(name.location, "rule ${name.text} needs class=1 to class=9")
        return actions.value("class", "a whole number from 1 to 9") { text ->
            Quantities.count(text)?.takeIf { it in CLASSES }
        } ?: RuleDecision.DEFAULT_CLASS
    }

    /** Adds findings for settings that contradict each other and for lists that combine to too many index entries. */
    private fun checkConflicts(rule: Rule) {
        val once = actions.flag("once")
        val open = actions.flag("open")
        val age = actions.locationOf("age")
        if (once != null && rule.repeatable) add(once.location, "rule ${rule.name} says both once and repeatable")
        if (age != null && rule.access == StatementAccess.WRITE) add(age, "age fits only statement=read")
        if (open != null) checkOpen(rule, open)
        val combinations = rule.databases.size * maxOf(1, rule.tables.size) * maxOf(1, rule.customers.size)
        if (combinations > MAX_COMBINATIONS) {
            add(name.location, "rule ${rule.name} lists $combinations combinations, more than $MAX_COMBINATIONS")
        }
    }

    private fun checkOpen(rule: Rule, open: Word) {
        if (rule.customers.isNotEmpty()) {
            add(open.location, "an open rule covers callers without a key, so name no customer")
        }
        if (rule.tables.isEmpty() || rule.access != StatementAccess.READ) {
            add(open.location, "an open rule needs statement=read and table=..., because anyone can send its marker")
        }
    }

    private fun add(location: SourceLocation, message: String) {
        findings.add(Finding(location, message))
    }

    private companion object {
        /** The maximum number of entries that one rule adds to a [RuleIndex]. */
        const val MAX_COMBINATIONS = 1000
        val CLASSES = 1..9
        val ACCESSES = StatementAccess.entries
        val CRITERIA = linkedSetOf("database", "statement", "table", "customer", "marker")
        val ACTIONS = linkedSetOf("class", "age")

        /** `once` states the default, so it is only checked against `repeatable`. */
        val FLAGS = linkedSetOf("once", "repeatable", "open")
        val DATABASE = Regex("""(?!$)[A-Za-z0-9_.-]{0,62}\*?""")
        val TABLE = Regex("""[\p{L}_][\p{L}\p{N}_$]*(\.[\p{L}_][\p{L}\p{N}_$]*)?""")
        val MARKER = Regex("""[A-Za-z0-9_-]{1,64}""")
    }
}
