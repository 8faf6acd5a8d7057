package dev.cardamomlane.store

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.cardamomlane.core.Finding
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.keys.KeyRecord
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.rules.RuleSet
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * One stored revision of the configuration.
 *
 * @property basedOn the revision that was in force when this one was proposed
 * @property author who proposed it
 */
public data class Revision(
    val number: Long,
    val basedOn: Long,
    val author: String,
    val rulesText: String,
    val keys: ImmutableList<KeyRecord>,
) {
    /** Parses the rules. A stored revision gives findings only if it was written by a newer version of the tool. */
    public fun toConfiguration(): Either<NonEmptyList<Finding>, Configuration> =
        RuleSet.parse("revision $number", rulesText).map { Configuration(number, it, rulesText, KeyRing(keys)) }

    public companion object {
        /** What is in force before the first revision. */
        public val NONE: Revision =
            Revision(number = 0, basedOn = 0, author = "", rulesText = "", keys = persistentListOf())
    }
}
