package dev.cardamomlane.daemon.path

import arrow.core.getOrElse
import dev.cardamomlane.core.keys.KeyHash
import dev.cardamomlane.daemon.Daemon
import dev.cardamomlane.daemon.settings.SettingsReader
import dev.cardamomlane.standin.Standin
import dev.cardamomlane.standin.settings.DatabaseSettings
import dev.cardamomlane.standin.settings.RowSettings
import dev.cardamomlane.standin.settings.StandinSettings
import dev.cardamomlane.standin.settings.TargetSettings
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.sql.Connection
import java.sql.DriverManager

/** Two daemons in front of one database group of three stand-in targets, all in this process. */
internal class PathFixture(callerSettings: String = "allowPlaintextKeys: true") : AutoCloseable {
    private val standin = Standin(standinSettings()).apply { start() }
    private val ports = freePorts(6)
    val daemons: List<Daemon> = listOf(0, 1).map { index -> daemon(index, callerSettings) }

    init {
        daemons.forEach { it.start() }
        repeat(2) { awaitMembers(it) }
        repeat(2) { awaitReady(it) }
    }

    fun callerPort(daemon: Int): Int = ports[daemon * PORTS_EACH]

    fun connect(daemon: Int, options: String = "", customer: String = "press"): Connection =
        DriverManager.getConnection(
            "jdbc:postgresql://127.0.0.1:${callerPort(daemon)}/orders-1?$options",
            customer,
            KEY,
        )

    override fun close() {
        daemons.forEach { it.stop() }
        standin.close()
    }

    private fun daemon(index: Int, callerSettings: String): Daemon {
        val (caller, peer, admin) = ports.subList(index * PORTS_EACH, index * PORTS_EACH + PORTS_EACH)
        val targets = TARGETS.joinToString("\n") { name ->
            val address = standin.addressOf(name).removePrefix("/")
            "      - { name: $name, availabilityZone: kranj, address: \"$address\", slots: 5, connections: 35 }"
        }
        val text = """
            |host:
            |  name: host-$index
            |  availabilityZone: kranj
            |  callerAddress: 127.0.0.1:$caller
            |  peerAddress: 127.0.0.1:$peer
            |  adminAddress: 127.0.0.1:$admin
            |fleet: { secret: test }
            |platform:
            |  endpoint: http://${standin.platformAddress.removePrefix("/")}
            |  table: cardamomlane
            |  region: local
            |  accessKey: standin
            |  secretKey: standin
            |  hostListUrl: http://${standin.platformAddress.removePrefix("/")}/hosts
            |targetUser: { name: cardamomlane, password: standin }
            |callers: { $callerSettings }
            |databases:
            |  - name: orders-1
            |    targets:
            |$targets
        """.trimMargin()
        return Daemon(SettingsReader.read("host-$index.yaml", text).getOrElse { error(it.joinToString("\n")) })
    }

    /** Waits until the daemon has [count] caller connections. */
    fun awaitConnections(daemon: Int, count: Int) = await(daemon, "/status") { "\"connections\":$count," in it.body() }

    /** To be called before [awaitReady]: while the member record grows, a host may lose its good standing for a moment. */
    private fun awaitMembers(daemon: Int) = await(daemon, "/status") { "\"host-0\",\"host-1\"" in it.body() }

    private fun awaitReady(daemon: Int) = await(daemon, "/ready") { it.statusCode() == HTTP_OK }

    private fun await(daemon: Int, path: String, condition: (HttpResponse<String>) -> Boolean) {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${ports[daemon * PORTS_EACH + 2]}$path")).build()
        repeat(MAX_TRIES) {
            if (condition(http.send(request, HttpResponse.BodyHandlers.ofString()))) return
            Thread.sleep(WAIT_MILLIS)
        }
        error("$path of daemon $daemon did not answer as expected in time")
    }

    private fun standinSettings() = StandinSettings(
        platformAddress = FREE_PORT,
        adminAddress = FREE_PORT,
        databases = listOf(
            DatabaseSettings(
                name = "orders-1",
                connectMillis = 1,
                serviceMillis = 0,
                targets = TARGETS.map { TargetSettings(it, "kranj", FREE_PORT, slots = 5, connections = 35) },
                initSql = listOf("CREATE TABLE notes(id varchar primary key, author varchar, body varchar)"),
            ),
        ),
        rows = listOf(
            RowSettings("config/head", """{"accepted":1,"proposed":null}"""),
            RowSettings("config/revision/1", revision()),
        ),
    )

    private fun revision(): String = buildJsonObject {
        put("rules", RULES)
        putJsonArray("keys") {
            addJsonObject {
                put("id", "press-1")
                put("customer", "press")
                put("hash", KeyHash.of(KEY, ByteArray(KeyHash.MIN_SALT_BYTES)).toString())
            }
        }
        put("basedOn", 0)
        put("author", "test")
    }.toString()

    companion object {
        /** The file [name] of the test resources. */
        fun resource(name: String): Path = Path.of(checkNotNull(PathFixture::class.java.getResource("/$name")).toURI())

        private val http = HttpClient.newHttpClient()
        private val TARGETS = listOf("orders-1-a", "orders-1-b", "orders-1-c")
        private const val FREE_PORT = "127.0.0.1:0"
        private const val KEY = "key-1"
        private const val PORTS_EACH = 3
        private const val MAX_TRIES = 1_200
        private const val WAIT_MILLIS = 50L
        private const val HTTP_OK = 200
        private val RULES = """
            rule read database=orders-1 statement=read table=notes : class=3 age=5s repeatable # test
            rule write database=orders-1 statement=write table=notes : class=1 once # test
            customer press rate=100000/s burst=100000 # test
        """.trimIndent()

        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    }
}
