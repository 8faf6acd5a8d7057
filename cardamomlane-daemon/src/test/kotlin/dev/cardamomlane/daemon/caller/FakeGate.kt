package dev.cardamomlane.daemon.caller

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

/** A [FleetGate] whose answers the test sets. The customer `press` has the key `key-1`. */
internal class FakeGate : FleetGate {
    private val rulesText =
        """
        rule read statement=read table=notes : class=3 age=5s repeatable # test
        rule open statement=read table=legend : class=3 age=5s repeatable open # test
        rule write statement=write table=notes : class=1 once # test
        customer press rate=100/s burst=100 # test
        """.trimIndent()
    private val rules = RuleSet.parse("test.rules", rulesText).getOrElse { error(it.toString()) }

    @Volatile
    var isInStanding = true

    @Volatile
    var isKeyGranted = true

    @Volatile
    var admission: Admission = Admission.Admitted

    override fun configuration(): Configuration {
        val hash = KeyHash.of("key-1", ByteArray(KeyHash.MIN_SALT_BYTES)).toString()
        val records = if (isKeyGranted) listOf(KeyRecord(KeyId("k1"), CustomerId("press"), hash)) else emptyList()
        return Configuration(revision = 1, rules, rulesText, KeyRing(records))
    }

    override fun inStanding(): Boolean = isInStanding

    override fun admit(customer: CustomerId): Admission = admission
}
