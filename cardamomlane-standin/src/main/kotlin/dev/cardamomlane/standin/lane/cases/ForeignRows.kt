package dev.cardamomlane.standin.lane.cases

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlin.random.Random

/** Contents of rows that another writer may leave among the entries of targets. None of them names a usable target. */
internal object ForeignRows {
    private const val ARRAY_DEPTH = 20_000
    private const val OBJECT_DEPTH = 9_000

    /** All contents, each within the size of a row. */
    val contents: List<String> = listOf(
        "[".repeat(ARRAY_DEPTH) + "]".repeat(ARRAY_DEPTH),
        "{\"a\":".repeat(OBJECT_DEPTH) + "1" + "}".repeat(OBJECT_DEPTH),
        entry(slots = "1e999"),
        entry(slots = "99999999999999999999"),
        entry(slots = "\"five\""),
        entry(port = "70000"),
        entry(port = "-1"),
        entry(port = "port"),
        entry(state = "asleep"),
        entry(extra = ",\"${PlatformWords.STARTED_AT_MILLIS}\":1e400,\"${PlatformWords.SEQUENCE}\":-1e400"),
        entry(extra = ",\"${PlatformWords.WARM_UP_MILLIS}\":{}"),
        "null",
        "",
        "\u0000\uFFFF{",
    )

    /** Returns one of the contents. */
    fun next(random: Random): ByteArray = contents.random(random).toByteArray()

    private fun entry(slots: String = "5", port: String = "1", state: String = "ready", extra: String = "") =
        "{\"${PlatformWords.GROUP}\":\"archive\",\"${PlatformWords.ADDRESS}\":\"127.0.0.1:$port\",\"zone\":\"kranj\"," +
            "\"slots\":$slots,\"state\":\"$state\",\"${PlatformWords.ROLE}\":\"replica\"$extra}"
}
