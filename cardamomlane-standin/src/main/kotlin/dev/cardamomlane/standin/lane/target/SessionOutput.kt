package dev.cardamomlane.standin.lane.target

/** The connection that a [TargetSession] answers on. */
internal interface SessionOutput {
    /** Sends [text], which ends with a line break. */
    fun write(text: String)

    /** Closes the connection after what was written. */
    fun close()
}
