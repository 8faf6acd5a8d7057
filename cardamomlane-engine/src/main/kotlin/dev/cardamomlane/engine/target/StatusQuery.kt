package dev.cardamomlane.engine.target

/** Queries the status of several targets at once. */
internal object StatusQuery {
    /**
     * Queries [targets] over connections of [customerName]. Calls [done] once with the answers, from which targets that
     * gave none in time are missing; at once when there are no targets.
     */
    fun run(targets: Collection<Target>, customerName: String, done: (Map<Target, TargetStatus>) -> Unit) {
        val answers = LinkedHashMap<Target, TargetStatus>()
        var left = targets.size
        if (left == 0) return done(answers)
        for (target in targets) {
            target.status(customerName) { status, _ ->
                if (status != null) answers[target] = status
                left--
                if (left == 0) done(answers)
            }
        }
    }
}
