package dev.cardamomlane.store

internal object RowKeys {
    fun requireValid(key: String) {
        val slash = key.indexOf('/')
        require(slash in 1 until key.length - 1) { "row key \"$key\" must be a partition, a slash and a name" }
    }

    fun partition(key: String): String = key.substringBefore('/')

    fun sortKey(key: String): String = key.substringAfter('/')
}
