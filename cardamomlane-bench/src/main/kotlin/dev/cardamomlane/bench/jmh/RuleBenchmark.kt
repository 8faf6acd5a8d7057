package dev.cardamomlane.bench.jmh

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.rules.RuleDecision
import dev.cardamomlane.core.rules.RuleSet
import dev.cardamomlane.core.sql.StatementFacts
import dev.cardamomlane.core.sql.StatementReader
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** Reading a statement and matching it against rule files of several sizes. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public open class RuleBenchmark {
    /** The number of rules in the file. */
    @Param("10", "1000", "10000")
    public var ruleCount: Int = 10

    private val database = DatabaseId("orders-1")
    private val customer = CustomerId("kranj-ok")
    private lateinit var rules: RuleSet
    private lateinit var facts: StatementFacts

    /** Parses a file in which only the last rule matches the statement. */
    @Setup
    public fun parse() {
        val others = List(ruleCount - 1) { "rule r$it statement=read table=t$it : class=5 age=1s repeatable # Nobody" }
        val text = (others + "rule last database=orders-* statement=read table=orders : class=2 repeatable # Desk")
        rules = checkNotNull(RuleSet.parse("bench.rules", text.joinToString("\n")).getOrNull())
        facts = StatementReader.read(SQL)
    }

    /** Matches a statement that was read before. */
    @Benchmark
    public fun decide(): RuleDecision = rules.decide(database, customer, facts)

    /** Reads a statement. */
    @Benchmark
    public fun read(): StatementFacts = StatementReader.read(SQL)

    private companion object {
        const val SQL = "select id, club, sheets from orders where club = 'OK Kranj' and event = 17 order by id"
    }
}
