package dev.cardamomlane.engine.zone

/** Divides the rate at which a target warms up among the members. */
internal object WarmUpShare {
    /**
     * The statements a second that the member [self] may send, given the rate of all [members] together. The division
     * rounds down; where that gives 0, the first member by name gets the whole rate. So members that agree never exceed
     * the rate together.
     */
    fun of(perSecond: Int, members: Set<String>, self: String): Int {
        require(perSecond > 0) { "perSecond must be positive but was $perSecond" }
        val share = perSecond / maxOf(1, members.size)
        return if (share == 0 && self == members.minOrNull()) perSecond else share
    }
}
