package dev.cardamomlane.store

/**
 * One row of the [PlatformTable].
 *
 * @property key a partition, a slash and a name within the partition, as in `config/head`
 * @property version counts the writes of the row from 1
 * @property value JSON text
 */
public data class Row(val key: String, val version: Long, val value: String) {
    init {
        RowKeys.requireValid(key)
        require(version >= 1) { "version of row \"$key\" must be at least 1 but was $version" }
    }
}
