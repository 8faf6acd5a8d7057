package dev.cardamomlane.core.keys

import dev.cardamomlane.core.CustomerId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList

/**
 * The keys that are granted to customers in one revision. Immutable.
 *
 * Throws [IllegalArgumentException] if two records have the same id or if a hash can't be parsed.
 */
public class KeyRing(records: List<KeyRecord>) {
    /** The records in the order given. */
    public val records: ImmutableList<KeyRecord> = records.toImmutableList()
    private val customersById = records.associate { it.id to it.customer }
    private val entriesByCustomer = records.map(::entryOf).groupBy { it.customer }

    init {
        require(customersById.size == records.size) { "key ids must be unique: ${records.map { it.id }}" }
    }

    /**
     * Returns the id of the key of [customer] that equals [key], or null if there is none.
     *
     * Compares [key] with every key of the customer, or with a placeholder if the customer has none, so that the time
     * taken reveals neither how close a guess is nor whether the customer exists.
     */
    public fun identify(customer: CustomerId, key: String): KeyId? {
        val entries = entriesByCustomer[customer]
        if (entries == null) {
            PLACEHOLDER.matches(key)
            return null
        }
        var found: KeyId? = null
        for (entry in entries) {
            if (entry.hash.matches(key)) found = entry.id
        }
        return found
    }

    /**
     * Returns whether the key [id] is granted to [customer]. This is one hash lookup, so that it can be called for each
     * statement.
     */
    public fun isGranted(customer: CustomerId, id: KeyId): Boolean = customersById[id] == customer

    override fun equals(other: Any?): Boolean = other is KeyRing && other.records == records

    override fun hashCode(): Int = records.hashCode()

    private class Entry(val id: KeyId, val customer: CustomerId, val hash: KeyHash)

    public companion object {
        /** A key ring without keys. */
        public val EMPTY: KeyRing = KeyRing(persistentListOf())

        /** Compared with the key of an unknown customer. The result of the comparison is ignored. */
        private val PLACEHOLDER = KeyHash.of("", ByteArray(KeyHash.MIN_SALT_BYTES))

        private fun entryOf(record: KeyRecord): Entry {
            val hash = requireNotNull(KeyHash.parse(record.hash)) { "key ${record.id} has a hash of unknown form" }
            return Entry(record.id, record.customer, hash)
        }
    }
}
