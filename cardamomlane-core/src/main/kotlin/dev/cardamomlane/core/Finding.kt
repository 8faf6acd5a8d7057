package dev.cardamomlane.core

/**
 * One defect in a text that an operator wrote.
 *
 * Checks collect findings and report them together, so that one run shows every defect.
 *
 * @property location where the defect is
 * @property message a short sentence that names the invalid value
 */
public data class Finding(val location: SourceLocation, val message: String) {
    override fun toString(): String = "$location: $message"
}
