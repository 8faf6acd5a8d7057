package dev.cardamomlane.engine.config

/** Which writes a read must see. */
public enum class Consistency {
    /** Every acknowledged write. */
    LATEST,

    /** Every write acknowledged longer ago than the route's maximum age. */
    BOUNDED,

    /** Like [BOUNDED], and every earlier write of the same session. */
    SESSION,
}
