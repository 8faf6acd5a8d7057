package dev.cardamomlane.core.sql

/**
 * Collects the tables that one statement names.
 *
 * Finds them in FROM lists, in joins and where a write names the table that it changes, at each level of parentheses. A
 * name that may be a table counts as one: an extra table makes rules match less, a missing one makes them match more.
 */
internal class TableCollector {
    private val found = LinkedHashSet<String>()
    private val commonTableExpressions = CommonTableExpressions()
    private val levels = ArrayDeque(listOf(Level(fromStartsList = true)))
    private var pendingName: StringBuilder? = null
    private var mayBeFunction = false
    private var expectation = Expectation.NOTHING
    private var previous: SqlToken? = null
    private var beforePrevious: SqlToken? = null

    /** What the next name is: no table, an item of a FROM list, or the table that a write changes. */
    private enum class Expectation { NOTHING, FROM_ITEM, TARGET }

    /**
     * One level of parentheses.
     *
     * @property fromStartsList false inside a call such as `extract(year FROM x)`, whose FROM precedes an argument
     * @property inFrom true between FROM and the clause after it
     */
    private class Level(val fromStartsList: Boolean, var inFrom: Boolean = false)

    fun accept(token: SqlToken) {
        val pending = pendingName
        when {
            pending != null && continuesName(token) -> pending.append(token.text)
            else -> {
                if (pending != null) finishName(token)
                acceptOutsideName(token)
            }
        }
        commonTableExpressions.accept(token, depth = levels.size - 1)
        beforePrevious = previous
        previous = token
    }

    /** Returns the tables found, in the order of their first mention. */
    fun finish(): Set<String> {
        pendingName?.let { add(it) }
        pendingName = null
        return found
    }

    private fun continuesName(token: SqlToken) = token.isSymbol('.') || (token.isName && previous.isDot())

    private fun SqlToken?.isDot() = this != null && isSymbol('.')

    private fun finishName(next: SqlToken) {
        val ended = checkNotNull(pendingName)
        pendingName = null
        if (!(mayBeFunction && next.isSymbol('('))) add(ended)
    }

    private fun add(qualified: StringBuilder) {
        val text = qualified.toString()
        if (text !in commonTableExpressions) found.add(text.removePrefix("public."))
    }

    /** Processes a token that does not continue a name. */
    private fun acceptOutsideName(token: SqlToken) {
        when {
            token.isSymbol('(') -> openParenthesis()
            token.isSymbol(')') -> closeParenthesis()
            token.isSymbol(',') -> if (levels.last().inFrom) expectation = Expectation.FROM_ITEM
            token.kind == SqlToken.Kind.WORD -> acceptWord(token)
            token.kind == SqlToken.Kind.QUOTED_IDENTIFIER && expectation != Expectation.NOTHING -> beginName(token)
        }
    }

    private fun openParenthesis() {
        val columnList = previous?.isWord("using") == true
        if (columnList) expectation = Expectation.NOTHING
        val inFromItem = expectation == Expectation.FROM_ITEM
        val isFunctionWithFrom = previous != null && checkNotNull(previous).text in functionsWithFrom
        levels.addLast(Level(fromStartsList = !isFunctionWithFrom, inFrom = inFromItem))
    }

    private fun closeParenthesis() {
        if (levels.size > 1) levels.removeLast()
        expectation = Expectation.NOTHING
    }

    private fun acceptWord(token: SqlToken) {
        val text = token.text
        when {
            previous.isDot() -> Unit
            text in queryStarts && previous?.isSymbol('(') == true -> endFromList()
            text == "on" -> expectation = Expectation.NOTHING
            text in skippedBeforeName && expectation != Expectation.NOTHING -> Unit
            text == "from" -> if (startsFromList()) expectFromItem()
            text == "join" || text == "using" -> expectation = Expectation.FROM_ITEM
            text in writeTargetWords -> expectWriteTarget(text)
            text in clauseEnds -> endFromList()
            expectation != Expectation.NOTHING -> beginName(token)
        }
    }

    private fun startsFromList(): Boolean {
        val comparison = previous?.isWord("distinct") == true &&
            (beforePrevious?.isWord("is") == true || beforePrevious?.isWord("not") == true)
        return levels.last().fromStartsList && !comparison
    }

    private fun expectFromItem() {
        levels.last().inFrom = true
        expectation = Expectation.FROM_ITEM
    }

    private fun expectWriteTarget(text: String) {
        val isRowLock = previous?.isWord("for") == true || previous?.isWord("key") == true
        val isConflictAction = text == "update" && previous?.isWord("do") == true
        if (!isRowLock && !isConflictAction) expectation = Expectation.TARGET
    }

    private fun endFromList() {
        levels.last().inFrom = false
        expectation = Expectation.NOTHING
    }

    private fun beginName(token: SqlToken) {
        pendingName = StringBuilder(token.text)
        mayBeFunction = expectation == Expectation.FROM_ITEM
        expectation = Expectation.NOTHING
    }

    private companion object {
        val functionsWithFrom = setOf("extract", "substring", "trim", "overlay")
        val skippedBeforeName = setOf("only", "lateral", "if", "not", "exists", "table", "concurrently")
        val queryStarts = setOf("values", "with")
        val writeTargetWords = setOf("into", "update", "table", "truncate")

        /**
         * The words that end a FROM list. Only reserved words: a column with the name of another word would end the
         * list too early, and the tables after it would be missed.
         */
        val clauseEnds =
            setOf(
                "select", "where", "group", "having", "order", "limit", "offset", "fetch", "for", "union", "intersect",
                "except", "window", "returning",
            )
    }
}
