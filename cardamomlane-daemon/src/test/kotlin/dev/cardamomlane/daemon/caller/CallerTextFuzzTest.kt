package dev.cardamomlane.daemon.caller

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.rules.RuleSet
import dev.cardamomlane.core.sql.StatementReader
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals

/** Feeds the readers of texts with mutated ones. The seed is fixed, so that the verdict is the same on every run. */
class CallerTextFuzzTest {
    private val random = Random(SEED)

    // An exception or a stack overflow at a caller's text ends its session without an answer.
    @Test
    fun `mutated statements, rules and startup options are read or refused`() {
        val unexpected = HashMap<String, Int>()
        val runs = Runnable {
            repeat(RUNS) {
                val text = mutated(SAMPLES.random(random))
                try {
                    StatementReader.read(text)
                    RuleSet.parse("rules", text)
                    StartupOptions.position(text, DatabaseId("orders-1"))
                } catch (failure: Throwable) {
                    unexpected.merge("$failure for ${text.take(100)}", 1, Int::plus)
                }
            }
        }
        Thread(null, runs, "fuzz", STACK_BYTES).apply { start() }.join()
        assertEquals(emptyMap(), unexpected)
    }

    private fun mutated(sample: String): String {
        var text = sample
        repeat(random.nextInt(1, 4)) {
            val start = random.nextInt(text.length + 1)
            val end = minOf(text.length, start + random.nextInt(8))
            val odd = if (random.nextInt(500) == 0) NESTED.random(random) else ODD_TEXTS.random(random)
            text = text.replaceRange(start, end, odd)
        }
        return if (random.nextInt(4) == 0) text.take(random.nextInt(text.length + 1)) else text
    }

    private companion object {
        const val SEED = 37
        const val RUNS = 20_000
        const val STACK_BYTES = 256L * 1_024
        val NESTED = listOf("(".repeat(60_000), "/*".repeat(60_000), "a".repeat(60_000), " --".repeat(20_000))
        val ODD_TEXTS = listOf(
            "", "'", "\"", "$$", "\$a$", "E'\\", "/*", "*/", "--", ";", "(", ")", ".", ",", "=", "*", "#", ":",
            "\u0000", "\r\n", "1e999", "99999999999999999999", "-1", "set ", "with ", "from ", "into ", "\uD800", "İ",
        )
        val SAMPLES = listOf(
            "/* lane:legend */ SELECT a.b, extract(year FROM x) FROM a JOIN \"b\" ON true WHERE c = $1 FOR UPDATE",
            "WITH x AS (INSERT INTO t VALUES ('a') RETURNING id) SELECT * FROM x; COMMIT AND CHAIN",
            "SET LOCAL TIME ZONE 'UTC'; RESET ALL; BEGIN READ ONLY",
            "customer press rate=200/s burst=20 weight=2 # ops",
            "rule a database=orders-* statement=read table=a,b customer=press : class=1 age=500ms repeatable # ops",
            "-c cardamomlane.position=1:5 --search_path=a",
        )
    }
}
