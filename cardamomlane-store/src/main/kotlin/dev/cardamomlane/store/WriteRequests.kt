package dev.cardamomlane.store

/** Checks the arguments of [PlatformTable.write], the same for every implementation. */
internal object WriteRequests {
    fun requireValid(writes: List<ConditionalWrite>, token: String) {
        require(writes.size in 1..PlatformTable.MAX_WRITES) {
            "a write must hold 1 to 100 rows but holds ${writes.size}"
        }
        require(token.length in 1..PlatformTable.MAX_TOKEN_LENGTH) { "token \"$token\" must have 1 to 36 characters" }
        val repeated = writes.groupBy { it.key }.filterValues { it.size > 1 }.keys
        require(repeated.isEmpty()) { "rows $repeated are written twice" }
    }
}
