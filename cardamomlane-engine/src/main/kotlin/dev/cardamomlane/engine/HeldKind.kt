package dev.cardamomlane.engine

/**
 * A kind of thing that an operation holds while it is under way, and that others lack if it is never given back. What
 * ends each of them is listed in docs/design/held-resources.md.
 *
 * @property label its name in metrics
 */
public enum class HeldKind(public val label: String) {
    /** A connection to a target, together with its slot there. */
    TARGET_CONNECTION("target_connection"),

    /** A place in the queue before the targets of a group. */
    QUEUE_PLACE("queue_place"),

    /** An operation that another host has forwarded to this one. */
    FORWARDED_OPERATION("forwarded_operation"),

    /** An operation that this host has forwarded to another one. */
    REMOTE_OPERATION("remote_operation"),
}
