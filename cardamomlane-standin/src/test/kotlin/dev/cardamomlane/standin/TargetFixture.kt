package dev.cardamomlane.standin

import dev.cardamomlane.standin.session.TargetServer
import dev.cardamomlane.standin.settings.DatabaseSettings
import dev.cardamomlane.standin.settings.StandinSettings
import dev.cardamomlane.standin.settings.TargetSettings
import java.sql.Connection
import java.sql.DriverManager

/** A stand-in with one database group of three targets on free ports, by default without service time or lag. */
internal class TargetFixture(
    slots: Int = 5,
    connections: Int = 35,
    serviceMillis: Long = 0,
    lagMillis: Long = 0,
    initSql: List<String> = listOf(NOTES),
) : AutoCloseable {
    val standin = Standin(
        StandinSettings(
            platformAddress = FREE_PORT,
            adminAddress = FREE_PORT,
            databases = listOf(
                DatabaseSettings(
                    name = DATABASE,
                    connectMillis = 0,
                    serviceMillis = serviceMillis,
                    lagMillis = lagMillis,
                    targets = listOf("a", "b", "c").map { TargetSettings(it, "kranj", FREE_PORT, slots, connections) },
                    initSql = initSql,
                ),
            ),
        ),
    ).apply { start() }

    fun server(name: String): TargetServer = checkNotNull(standin.server(name))

    fun connect(target: String, options: String = ""): Connection =
        DriverManager.getConnection("jdbc:postgresql://${server(target).address}/$DATABASE?$options", "press", "x")

    fun control(target: String): Connection =
        connect(target, "ApplicationName=cardamomlane-control&assumeMinServerVersion=9.0&preferQueryMode=simple")

    /** Blocks until the replicas have applied the whole log of the first target. */
    fun awaitReplicas() {
        val targets = standin.groups.single().targets
        while (targets.any { it.status.applied != targets.first().status.received }) Thread.sleep(1)
    }

    override fun close() {
        standin.close()
    }

    companion object {
        const val DATABASE = "orders-1"
        const val FREE_PORT = "127.0.0.1:0"
        const val NOTES = "CREATE TABLE notes(id varchar primary key, author varchar, body varchar, " +
            "created_at timestamp default current_timestamp)"
    }
}

/** Returns the first column of every row. */
internal fun Connection.column(sql: String, fetchSize: Int = 0): List<String?> = createStatement().use { statement ->
    statement.fetchSize = fetchSize
    statement.executeQuery(sql).use { rows -> buildList { while (rows.next()) add(rows.getString(1)) } }
}

/** Returns the columns of the first row. Fails if there is none. */
internal fun Connection.row(sql: String): List<String?> = createStatement().use { statement ->
    statement.executeQuery(sql).use { rows ->
        check(rows.next()) { "no row from $sql" }
        (1..rows.metaData.columnCount).map(rows::getString)
    }
}
