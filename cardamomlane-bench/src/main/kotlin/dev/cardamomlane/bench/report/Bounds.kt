package dev.cardamomlane.bench.report

import com.charleskorn.kaml.Yaml
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.io.path.readText

/** The regression bounds of `bench/bounds.yaml`. */
@Serializable
internal data class Bounds(val bounds: List<Bound>) {
    /** The misses among [measures], one line each. */
    fun misses(measures: List<Measure>): List<String> =
        bounds.mapNotNull { bound -> bound.missOf(measures.firstOrNull { it.name == bound.measure }?.value) }

    companion object {
        fun read(file: Path): Bounds = Yaml.default.decodeFromString(serializer(), file.readText())
    }
}
