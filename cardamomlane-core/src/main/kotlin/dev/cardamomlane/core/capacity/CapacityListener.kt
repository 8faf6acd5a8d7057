package dev.cardamomlane.core.capacity

/** Receives the decisions of a [LearnedCapacity] that an operator may ask about. */
public interface CapacityListener {
    /** The limit has moved by more than a fifth since the last call, from [before] to [after]. */
    public fun onLimit(before: Double, after: Double)

    /** The target was taken out of use, or back into use; [failureRate] is the fraction of failures before. */
    public fun onUse(isInUse: Boolean, failureRate: Double)

    /** Ignores everything. */
    public object None : CapacityListener {
        override fun onLimit(before: Double, after: Double): Unit = Unit

        override fun onUse(isInUse: Boolean, failureRate: Double): Unit = Unit
    }
}
