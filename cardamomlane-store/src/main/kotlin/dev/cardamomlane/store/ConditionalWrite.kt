package dev.cardamomlane.store

/**
 * A write of one row that takes effect only if the row has the expected version.
 *
 * @property expectedVersion the version that the row must have; [ABSENT] when the row must not exist
 * @property value the new JSON text, stored as version [expectedVersion] + 1; null deletes the row
 */
public data class ConditionalWrite(val key: String, val expectedVersion: Long, val value: String?) {
    init {
        RowKeys.requireValid(key)
        require(expectedVersion >= ABSENT) { "expectedVersion of row \"$key\" must not be negative: $expectedVersion" }
        require(value != null || expectedVersion > ABSENT) { "a delete of row \"$key\" needs the version it deletes" }
    }

    public companion object {
        /** The expected version of a row that must not exist. */
        public const val ABSENT: Long = 0
    }
}
