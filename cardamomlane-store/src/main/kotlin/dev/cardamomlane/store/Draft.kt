package dev.cardamomlane.store

import dev.cardamomlane.core.keys.KeyRecord
import kotlinx.collections.immutable.ImmutableList

/** What an operator wants the next revision to hold. */
public data class Draft(val rulesText: String, val keys: ImmutableList<KeyRecord>, val author: String)
