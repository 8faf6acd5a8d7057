package dev.cardamomlane.core

/**
 * One defect found in a text that an operator wrote, with its place.
 *
 * Checks collect findings and report them together, so that one run shows every defect.
 *
 * @property location where the defect is
 * @property message one short sentence that names the bad value
 */
public data class Finding(val location: SourceLocation, val message: String) {
    override fun toString(): String = "$location: $message"
}
