package dev.cardamomlane.standin.admin

import dev.cardamomlane.standin.TargetFixture
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AdminServerTest {
    private val fixture = TargetFixture()
    private val client = HttpClient.newHttpClient()

    @AfterAll
    fun close() = fixture.close()

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "/targets/b/cut?callers=false&peers=true|\"cutFromPeers\":true",
            "/targets/b/cut?callers=true&peers=false|\"cutFromCallers\":true",
            "/targets/b/heal|\"cutFromPeers\":false",
            "/targets/b/lag?millis=70|\"lagMillis\":70",
            "/targets/b/silence|\"connections\":0",
            "/targets/b/lose-answers?count=3|\"loseAnswers\":3",
            "/targets/b/slow?millis=9|\"slowMillis\":9",
            "/targets/b/leaving?value=true|\"leaving\":true",
            "/targets/c/crash|\"crashed\":true",
            "/targets/c/restart|\"crashed\":false",
            "/platform/slow?millis=1|\"slowMillis\":1",
            "/platform/lose-answers?count=2|\"loseAnswers\":2",
            "/platform/outage?millis=60000|\"out\":true",
            "/platform/heal|\"out\":false",
            "/hosts/host-9/add?availabilityZone=z&peerAddress=p:1&adminAddress=a:2|\"host\":\"host-9\"",
            "/hosts/host-9/leaving|\"state\":\"LEAVING\"",
            "/hosts/host-9/live|\"state\":\"LIVE\"",
            "/hosts/host-9/gone|\"hosts\":[]",
        ],
    )
    fun `applies a call and reports the new state`(path: String, expected: String) {
        val answer = post(path)

        assertEquals(200, answer.statusCode())
        assertTrue(expected in answer.body(), answer.body())
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "/targets/x/heal", "/targets/a/fly", "/targets/a/lag", "/targets/a/lag?millis=-1",
            "/targets/a/cut?callers=maybe", "/platform/fly", "/hosts/x/gone",
        ],
    )
    fun `refuses invalid calls`(path: String) {
        val answer = post(path)

        assertEquals(400, answer.statusCode())
        assertTrue(answer.body().startsWith("{\"error\":"), answer.body())
    }

    @Test
    fun `reports every target`() {
        val answer = client.send(request(fixture.standin.adminAddress, "/state").GET().build(), BodyHandlers.ofString())

        val view = Json.decodeFromString(StandinView.serializer(), answer.body())
        assertEquals(listOf("a", "b", "c"), view.targets.map(TargetView::name))
        assertEquals("primary", view.targets.first().role)
    }

    @Test
    fun `the table drops an answer after the write took effect and refuses requests in an outage`() {
        post("/platform/lose-answers?count=1")
        assertFailsWith<IOException> { table("PutItem", """{"TableName":"cardamomlane","Item":$KEY}""") }
        assertTrue("Item" in table("GetItem", GET).body())

        post("/platform/outage")
        assertEquals(503, table("GetItem", GET).statusCode())
        post("/platform/heal")
        assertEquals(200, table("GetItem", GET).statusCode())
    }

    private fun post(path: String): HttpResponse<String> = client.send(
        request(fixture.standin.adminAddress, path).POST(BodyPublishers.noBody()).build(),
        BodyHandlers.ofString(),
    )

    private fun table(operation: String, body: String): HttpResponse<String> = client.send(
        request(fixture.standin.platformAddress, "/").header("X-Amz-Target", "DynamoDB_20120810.$operation")
            .POST(BodyPublishers.ofString(body)).build(),
        BodyHandlers.ofString(),
    )

    private fun request(address: String, path: String): HttpRequest.Builder =
        HttpRequest.newBuilder(URI("http://$address$path"))

    private companion object {
        const val KEY = """{"pk":{"S":"p"},"sk":{"S":"a"}}"""
        const val GET = """{"TableName":"cardamomlane","Key":$KEY}"""
    }
}
