package dev.cardamomlane.core.capacity

/**
 * How much work one target handles well, and how well it answers, as learned from the statements that run there.
 *
 * Each call of [started] is followed by exactly one of [answered], [refused], [lost] and [released].
 *
 * Not safe for use by several threads.
 */
public interface TargetCapacity {
    /** How many statements may run at the target at once; at least 1. */
    public val limit: Int

    /** The recent mean time of an answer. */
    public val serviceMillis: Double

    /** 1 for a target that answers as the others of its group do, 0 for one that is out of use. */
    public val health: Double

    /** True when another statement of this member may start now. */
    public val hasRoom: Boolean

    /** True unless the target is out of use because it fails statements that other targets answer. */
    public val isInUse: Boolean

    /** True while a target that was out of use is tried with a few statements. */
    public val isOnTrial: Boolean get() = false

    /** The statements that are running at the target, those that other members report included. */
    public val totalRunningCount: Double

    /** The time that a statement of [kind] takes once it runs, or null when nothing is known about that kind. */
    public fun expectedMillis(kind: WorkKind, nowMillis: Long): Double?

    /** A statement of [kind] was sent. */
    public fun started(kind: WorkKind, nowMillis: Long)

    /**
     * The answer to a statement of [kind] has arrived after [tookMillis].
     *
     * @param isSuccess false when the statement failed in a way that the target may have caused
     */
    public fun answered(kind: WorkKind, tookMillis: Double, isSuccess: Boolean, nowMillis: Long)

    /** The target was too busy to run a statement of [kind]. This counts as a failure of the target. */
    public fun refused(kind: WorkKind, nowMillis: Long)

    /** A statement of [kind] will get no answer, or got none in time. This counts as a failure of the target. */
    public fun lost(kind: WorkKind, nowMillis: Long)

    /** A statement of [kind] ended in a way that says nothing about the target. */
    public fun released(kind: WorkKind, nowMillis: Long)
}
