package dev.cardamomlane.store

import dev.cardamomlane.core.keys.KeyRecord
import kotlinx.collections.immutable.ImmutableList

/** The content that an operator proposes for the next revision. */
public data class Draft(val rulesText: String, val keys: ImmutableList<KeyRecord>, val author: String)
