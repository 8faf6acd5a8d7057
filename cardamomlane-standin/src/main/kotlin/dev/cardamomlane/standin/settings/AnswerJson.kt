package dev.cardamomlane.standin.settings

import kotlinx.serialization.json.Json

/** The JSON of answers and of files for scripts, in which every field stands, defaults included. */
internal val answerJson: Json = Json { encodeDefaults = true }
