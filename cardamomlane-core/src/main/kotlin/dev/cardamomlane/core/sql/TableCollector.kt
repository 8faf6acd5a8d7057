package dev.cardamomlane.core.sql

/**
 * Collects the tables that one statement names.
 *
 * Follows FROM lists, joins and the targets of changes through parentheses. A name that might be a table counts as
 * one, because a table too many makes a rule match less and a table too few makes it match more.
 */
internal class TableCollector {
    private val found = LinkedHashSet<String>()
    private val expressions = CommonTableExpressions()
    private val levels = ArrayDeque(listOf(Level(fromMayName = true)))
    private var name: StringBuilder? = null
    private var callMayFollow = false
    private var expectation = Expectation.NOTHING
    private var previous: SqlToken? = null
    private var beforePrevious: SqlToken? = null

    private enum class Expectation { NOTHING, FROM_ITEM, TARGET }

    /** One level of parentheses. [inFrom] is true between FROM and the clause after it. */
    private class Level(val fromMayName: Boolean, var inFrom: Boolean = false)

    fun accept(token: SqlToken) {
        val pending = name
        when {
            pending != null && continuesName(token) -> pending.append(token.text)
            else -> {
                if (pending != null) endName(token)
                start(token)
            }
        }
        expressions.accept(token, depth = levels.size - 1)
        beforePrevious = previous
        previous = token
    }

    /** The tables found, in the order of their first mention. */
    fun finish(): Set<String> {
        name?.let { add(it) }
        name = null
        return found
    }

    private fun continuesName(token: SqlToken) = token.isSymbol('.') || (token.isName && previous.isDot())

    private fun SqlToken?.isDot() = this != null && isSymbol('.')

    private fun endName(next: SqlToken) {
        val ended = checkNotNull(name)
        name = null
        if (!(callMayFollow && next.isSymbol('('))) add(ended)
    }

    private fun add(qualified: StringBuilder) {
        val text = qualified.toString()
        if (text !in expressions) found.add(text.removePrefix("public."))
    }

    private fun start(token: SqlToken) {
        when {
            token.isSymbol('(') -> open()
            token.isSymbol(')') -> close()
            token.isSymbol(',') -> if (levels.last().inFrom) expectation = Expectation.FROM_ITEM
            token.kind == SqlToken.Kind.WORD -> word(token)
            token.kind == SqlToken.Kind.QUOTED_IDENTIFIER && expectation != Expectation.NOTHING -> beginName(token)
        }
    }

    private fun open() {
        val columnList = previous?.isWord("using") == true
        if (columnList) expectation = Expectation.NOTHING
        val inFromItem = expectation == Expectation.FROM_ITEM
        val special = previous != null && checkNotNull(previous).text in fromInsideCall
        levels.addLast(Level(fromMayName = !special, inFrom = inFromItem))
    }

    private fun close() {
        if (levels.size > 1) levels.removeLast()
        expectation = Expectation.NOTHING
    }

    private fun word(token: SqlToken) {
        val text = token.text
        when {
            previous.isDot() -> Unit
            text in queryStarts && previous?.isSymbol('(') == true -> endFrom()
            text == "on" -> expectation = Expectation.NOTHING
            text in skippedBeforeName && expectation != Expectation.NOTHING -> Unit
            text == "from" -> if (opensFrom()) expectFromItem()
            text == "join" || text == "using" -> expectation = Expectation.FROM_ITEM
            text in targetWords -> expectTarget(text)
            text in clauseEnds -> endFrom()
            expectation != Expectation.NOTHING -> beginName(token)
        }
    }

    private fun opensFrom(): Boolean {
        val comparison = previous?.isWord("distinct") == true &&
            (beforePrevious?.isWord("is") == true || beforePrevious?.isWord("not") == true)
        return levels.last().fromMayName && !comparison
    }

    private fun expectFromItem() {
        levels.last().inFrom = true
        expectation = Expectation.FROM_ITEM
    }

    private fun expectTarget(text: String) {
        val isLock = previous?.isWord("for") == true || previous?.isWord("key") == true
        val isConflictAction = text == "update" && previous?.isWord("do") == true
        if (!isLock && !isConflictAction) expectation = Expectation.TARGET
    }

    private fun endFrom() {
        levels.last().inFrom = false
        expectation = Expectation.NOTHING
    }

    private fun beginName(token: SqlToken) {
        name = StringBuilder(token.text)
        callMayFollow = expectation == Expectation.FROM_ITEM
        expectation = Expectation.NOTHING
    }

    private companion object {
        val fromInsideCall = setOf("extract", "substring", "trim", "overlay")
        val skippedBeforeName = setOf("only", "lateral", "if", "not", "exists", "table", "concurrently")
        val queryStarts = setOf("values", "with")
        val targetWords = setOf("into", "update", "table", "truncate")

        /** Reserved words only: a word that may name a column could hide the rest of a FROM list. */
        val clauseEnds =
            setOf(
                "select", "where", "group", "having", "order", "limit", "offset", "fetch", "for", "union", "intersect",
                "except", "window", "returning",
            )
    }
}
