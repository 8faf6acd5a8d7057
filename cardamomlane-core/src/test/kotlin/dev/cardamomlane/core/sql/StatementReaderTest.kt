package dev.cardamomlane.core.sql

import dev.cardamomlane.core.sql.StatementKind.BEGIN
import dev.cardamomlane.core.sql.StatementKind.COMMIT
import dev.cardamomlane.core.sql.StatementKind.EMPTY
import dev.cardamomlane.core.sql.StatementKind.READ
import dev.cardamomlane.core.sql.StatementKind.RESET
import dev.cardamomlane.core.sql.StatementKind.ROLLBACK
import dev.cardamomlane.core.sql.StatementKind.SAVEPOINT
import dev.cardamomlane.core.sql.StatementKind.SET
import dev.cardamomlane.core.sql.StatementKind.SHOW
import dev.cardamomlane.core.sql.StatementKind.UNSUPPORTED
import dev.cardamomlane.core.sql.StatementKind.WRITE
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class StatementReaderTest {
    @TestFactory
    fun `distinguishes reads from writes`() = listOf(
        READ to "SELECT 1",
        READ to "  (select 1) union (select 2)",
        READ to "VALUES (1), (2)",
        READ to "TABLE notes",
        READ to "SELECT count(*), max(lower(a)) FROM notes WHERE id IN (1) AND (a = 'INSERT')",
        READ to "WITH n AS (SELECT * FROM notes) SELECT * FROM n",
        READ to "SELECT \"update\", \"into\" FROM notes",
        READ to "SELECT 1 -- ; DELETE FROM notes",
        READ to "SELECT 1 /* ; DELETE /* nested */ FROM notes */",
        READ to "SELECT 'a''b; DELETE', E'it\\'s; DELETE', \$x\$; DELETE\$x\$, \$\$;\$\$",
        READ to "SELECT n.update FROM notes n",
        READ to "EXPLAIN DELETE FROM notes",
        READ to "EXPLAIN (ANALYZE, BUFFERS) SELECT 1",
        READ to "DECLARE c CURSOR FOR SELECT 1",
        READ to "FETCH 10 FROM c",
        READ to "SELECT pg_sleep(1)",
        WRITE to "INSERT INTO notes(id) VALUES (1)",
        WRITE to "update notes set body = 'x'",
        WRITE to "SELECT * FROM notes FOR UPDATE",
        WRITE to "SELECT * FROM notes FOR NO KEY UPDATE",
        WRITE to "SELECT * FROM notes FOR KEY SHARE SKIP LOCKED",
        WRITE to "SELECT * INTO copies FROM notes",
        WRITE to "WITH gone AS (DELETE FROM notes RETURNING *) SELECT * FROM gone",
        WRITE to "SELECT nextval('s')",
        WRITE to "SELECT pg_advisory_xact_lock(1)",
        WRITE to "SELECT place_order(1)",
        WRITE to "SELECT app.lower('a')",
        WRITE to "SELECT \"filter\"(1)",
        WRITE to "CREATE TABLE t (id int)",
        WRITE to "CALL place_order(1)",
        WRITE to "EXPLAIN ANALYZE DELETE FROM notes",
        WRITE to "VACUUM",
        WRITE to "no such statement",
        WRITE to "'a string'",
    ).map { (kind, sql) -> kindTest(kind, sql) }

    @TestFactory
    fun `recognizes transaction control, settings and what a shared connection does not support`() = listOf(
        BEGIN to "begin",
        BEGIN to "START TRANSACTION ISOLATION LEVEL SERIALIZABLE",
        COMMIT to "COMMIT WORK;",
        COMMIT to "end",
        ROLLBACK to "ABORT",
        SAVEPOINT to "ROLLBACK TRANSACTION TO SAVEPOINT a",
        SAVEPOINT to "release a",
        SHOW to "SHOW TIME ZONE",
        RESET to "RESET ALL",
        SET to "SET TimeZone TO 'UTC'",
        EMPTY to "",
        EMPTY to " ; -- nothing",
        WRITE to "SELECT 1; DELETE FROM notes; SELECT 2",
        READ to "SHOW a; SELECT 1",
        UNSUPPORTED to "BEGIN; DELETE FROM notes; COMMIT",
        UNSUPPORTED to "SET a = 1; SELECT 1",
        UNSUPPORTED to "CREATE TEMP TABLE t (id int)",
        UNSUPPORTED to "create or replace temporary view v as select 1",
        UNSUPPORTED to "SELECT 1 INTO TEMP t",
        UNSUPPORTED to "INSERT INTO pg_temp.t VALUES (1)",
        UNSUPPORTED to "LISTEN a",
        UNSUPPORTED to "UNLISTEN *",
        UNSUPPORTED to "NOTIFY a",
        UNSUPPORTED to "SELECT pg_advisory_lock(1)",
        UNSUPPORTED to "SELECT pg_catalog.\"pg_try_advisory_lock\"(1)",
        UNSUPPORTED to "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        UNSUPPORTED to "COPY notes FROM STDIN",
        UNSUPPORTED to "PREPARE p AS SELECT 1",
        UNSUPPORTED to "PREPARE TRANSACTION 'a'",
        UNSUPPORTED to "COMMIT PREPARED 'a'",
        UNSUPPORTED to "COMMIT AND CHAIN",
        UNSUPPORTED to "DISCARD ALL",
        UNSUPPORTED to "DO 'x'",
        UNSUPPORTED to "SET ROLE admin",
        UNSUPPORTED to "SET SESSION AUTHORIZATION admin",
        UNSUPPORTED to "SELECT set_config('a', 'b', false)",
        UNSUPPORTED to "SELECT lastval()",
        UNSUPPORTED to "SET standard_conforming_strings = off",
        UNSUPPORTED to "SET client_encoding TO 'SJIS'",
        UNSUPPORTED to "SELECT * FROM cardamomlane_fence(9, 'me')",
    ).map { (kind, sql) -> kindTest(kind, sql) }

    @TestFactory
    fun `collects every table that a statement names`() = listOf(
        "SELECT * FROM a, b x, ONLY c JOIN d ON a.id = d.id, e" to "a b c d e",
        "SELECT * FROM (a CROSS JOIN b), LATERAL (SELECT * FROM c) x, f(a.id), d" to "a b c d",
        "SELECT (SELECT max(id) FROM a) FROM b WHERE EXISTS (TABLE c) UNION SELECT * FROM d" to "a b c d",
        "SELECT * FROM a JOIN b USING (id, name), c" to "a b c",
        "SELECT * FROM a l JOIN a m ON l.where IS NULL, b" to "a b",
        "SELECT * FROM f(1) WITH ORDINALITY, b" to "b",
        "SELECT * FROM (VALUES (1, x)) v, b" to "b",
        "SELECT extract(year FROM t), substring(x FROM 2) FROM a WHERE x IS NOT DISTINCT FROM y" to "a",
        "SELECT * FROM \"Mixed Case\", Public.Notes, secret.notes" to "Mixed Case|notes|secret.notes",
        "INSERT INTO a (x) SELECT x FROM b ON CONFLICT (x) DO UPDATE SET y = 1" to "a b",
        "UPDATE a SET x = 1 FROM b, c WHERE true" to "a b c",
        "DELETE FROM ONLY a USING b" to "a b",
        "MERGE INTO a USING b ON true WHEN MATCHED THEN DELETE" to "a b",
        "TRUNCATE TABLE a" to "a",
        "CREATE TABLE IF NOT EXISTS a (id int)" to "a",
        "WITH x AS (SELECT * FROM a) SELECT * FROM x JOIN b ON true" to "a b",
        "WITH a AS (SELECT * FROM a) SELECT * FROM a" to "a",
        "WITH RECURSIVE x AS (SELECT 1 UNION SELECT * FROM x) SELECT * FROM x" to "",
        "SELECT * FROM (WITH a AS (SELECT 1) SELECT * FROM a) y, a" to "a",
        "SELECT * FROM b WINDOW a AS () UNION SELECT * FROM a" to "b a",
        "SELECT E'a'\n'b\\' , ' FROM a, (SELECT x FROM b) c, (SELECT E'')" to "a b",
        "SELECT * FROM a FOR UPDATE OF a" to "a",
        "SELECT 1" to "",
    ).map { (sql, tables) ->
        val expected = tables.split(if ('|' in tables) "|" else " ").filter { it.isNotEmpty() }
        DynamicTest.dynamicTest(sql) { assertEquals(expected, read(sql).tables.toList()) }
    }

    @TestFactory
    fun `reads the parts of SET`() = listOf(
        "SET application_name = 'my app'" to listOf("application_name", "'my app'", false),
        "set session search_path to a, \"B\"" to listOf("search_path", "a, \"B\"", false),
        "SET LOCAL statement_timeout TO 500" to listOf("statement_timeout", "500", true),
        "SET TIME ZONE 'Europe/Ljubljana'" to listOf("timezone", "'Europe/Ljubljana'", false),
        "SET TIME ZONE LOCAL" to listOf("timezone", null, false),
        "SET extra_float_digits = -3" to listOf("extra_float_digits", "-3", false),
        "SET DateStyle TO DEFAULT" to listOf("datestyle", null, false),
        "SET NAMES 'UTF8'" to listOf("client_encoding", "'UTF8'", false),
        "SET app.user = 'x'" to listOf("app.user", "'x'", false),
        "SET TRANSACTION READ ONLY" to listOf("transaction", "READ ONLY", true),
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE" to
            listOf("session characteristics", "AS TRANSACTION READ WRITE", false),
    ).map { (sql, expected) ->
        val facts = read(sql)
        DynamicTest.dynamicTest(sql) {
            assertEquals(expected, listOf(facts.setName, facts.setValue, facts.setLocal))
            assertEquals(SET, facts.kind)
        }
    }

    @Test
    fun `reads a marker only from a leading comment`() {
        assertEquals("legend", read(" /* lane:legend */ SELECT 1").marker)
        assertEquals("legend", read("-- x\n/*lane:legend*/ SELECT 1").marker)
        for (sql in listOf(
            "SELECT /* lane:a */ 1",
            "/* a */ /* lane:a */ SELECT 1",
            "/* lane:a b */ SELECT 1",
            "/* lane:a",
        )) {
            assertNull(read(sql).marker, sql)
        }
    }

    @Test
    fun `counts statements and gives a reason for unsupported ones`() {
        assertEquals(2, read("SELECT 1; ; SELECT 2;").count)
        assertNotNull(read("LISTEN a").unsupportedReason)
        assertNull(read("SELECT 1").unsupportedReason)
    }

    @Test
    fun `recognizes read-only transactions`() {
        assertEquals(true, read("BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY").readOnly)
        assertEquals(false, read("BEGIN READ ONLY, READ WRITE").readOnly)
        assertEquals(true, read("SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY").readOnly)
    }

    private fun kindTest(kind: StatementKind, sql: String) =
        DynamicTest.dynamicTest("$kind: $sql") { assertEquals(kind, read(sql).kind) }

    private fun read(sql: String) = StatementReader.read(sql)
}
