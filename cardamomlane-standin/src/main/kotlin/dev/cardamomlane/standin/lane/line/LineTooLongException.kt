package dev.cardamomlane.standin.lane.line

import java.io.IOException

/** A line did not end within [maxBytes]. */
internal class LineTooLongException(val maxBytes: Int) : IOException("a line is longer than $maxBytes bytes")
