package dev.cardamomlane.core.keys

import dev.cardamomlane.core.CustomerId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/** The keys that are live in one revision. Immutable. */
public class KeyRing(records: List<KeyRecord>) {
    /** The records in the order given. */
    public val records: ImmutableList<KeyRecord> = records.toImmutableList()
    private val customersById = records.associate { it.id to it.customer }
    private val entriesByCustomer = records.map(::entryOf).groupBy { it.customer }

    init {
        require(customersById.size == records.size) { "key ids must be unique: ${records.map { it.id }}" }
    }

    /**
     * Finds which key of [customer] has the text [key], or null when none has.
     *
     * Compares with every key of the customer, and with one unused hash when it has none, so that the time taken tells
     * neither how close a guess came nor whether the customer exists.
     */
    public fun identify(customer: CustomerId, key: String): KeyId? {
        val entries = entriesByCustomer[customer]
        if (entries == null) {
            UNKNOWN.matches(key)
            return null
        }
        var found: KeyId? = null
        for (entry in entries) {
            if (entry.hash.matches(key)) found = entry.id
        }
        return found
    }

    /** True while the key [id] is granted to [customer]. Cheap enough for each statement. */
    public fun isGranted(customer: CustomerId, id: KeyId): Boolean = customersById[id] == customer

    override fun equals(other: Any?): Boolean = other is KeyRing && other.records == records

    override fun hashCode(): Int = records.hashCode()

    private class Entry(val id: KeyId, val customer: CustomerId, val hash: KeyHash)

    public companion object {
        /** A ring without keys. */
        public val EMPTY: KeyRing = KeyRing(persistentListOf())

        /** Takes the place of a customer's hashes where there are none; what it says is not used. */
        private val UNKNOWN = KeyHash.of("", ByteArray(KeyHash.MIN_SALT_BYTES))

        private fun entryOf(record: KeyRecord): Entry {
            val hash = requireNotNull(KeyHash.parse(record.hash)) { "key ${record.id} has a hash of unknown form" }
            return Entry(record.id, record.customer, hash)
        }
    }
}
