package dev.cardamomlane.standin.settings

import kotlinx.serialization.json.Json

/** The JSON format of answers and of files for scripts. It includes fields with default values. */
internal val answerJson: Json = Json { encodeDefaults = true }
