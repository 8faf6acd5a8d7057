package dev.cardamomlane.daemon.thin

import arrow.core.getOrElse
import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.fleet.Configuration
import dev.cardamomlane.core.keys.KeyHash
import dev.cardamomlane.core.keys.KeyId
import dev.cardamomlane.core.keys.KeyRecord
import dev.cardamomlane.core.keys.KeyRing
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.rules.RuleSet
import dev.cardamomlane.daemon.FleetGate
import java.io.File

/** A gate for one host alone: rules from a file, a key `key-CUSTOMER` for each customer, no limits. */
internal class FileGate(file: File) : FleetGate {
    private val text = file.readText()
    private val rules = RuleSet.parse(file.name, text).getOrElse { error(it.joinToString("\n")) }
    private val keys = KeyRing(
        rules.limits.keys.map {
            KeyRecord(KeyId("k-$it"), it, KeyHash.of("key-$it", ByteArray(KeyHash.MIN_SALT_BYTES)).toString())
        },
    )

    override fun configuration(): Configuration = Configuration(revision = 1, rules, text, keys)

    override fun inStanding(): Boolean = true

    override fun admit(customer: CustomerId): Admission = Admission.Admitted
}
