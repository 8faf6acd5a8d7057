package dev.cardamomlane.cli

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import dev.cardamomlane.store.DynamoSettings
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.Serializable
import java.io.IOException
import java.net.URI
import java.nio.file.Path
import kotlin.io.path.readText

/** The part of a daemon's settings file that the tool needs. Other blocks are ignored. */
@Serializable
internal class ToolSettings(val platform: Platform) {
    @Serializable
    class Platform(
        val endpoint: String,
        val table: String,
        val region: String,
        val accessKey: String,
        val secretKey: String,
        val hostListUrl: String,
    ) {
        fun dynamo() = DynamoSettings(URI(endpoint), table, region, accessKey, secretKey, TIMEOUT_MILLIS)
    }

    companion object {
        private const val TIMEOUT_MILLIS = 5_000L
        private val yaml = Yaml(configuration = YamlConfiguration(strictMode = false))

        /** Reads [file]. A file that is missing or wrong ends the command. */
        @OptIn(ExperimentalSerializationApi::class)
        fun read(file: Path): ToolSettings = try {
            yaml.decodeFromString(serializer(), file.readText()).also { it.platform.dynamo() }
        } catch (e: MissingFieldException) {
            throw CommandFailure(ExitCodes.USAGE, "$file: missing: ${e.missingFields.joinToString()}")
        } catch (e: YamlException) {
            throw CommandFailure(ExitCodes.USAGE, "$file:${e.line}:${e.column}: ${e.message}")
        } catch (e: IOException) {
            throw CommandFailure(ExitCodes.USAGE, "Settings file $file cannot be read: ${e.message}")
        } catch (e: IllegalArgumentException) {
            throw CommandFailure(ExitCodes.USAGE, "$file: platform: ${e.message}")
        }
    }
}
