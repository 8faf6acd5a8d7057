package dev.cardamomlane.standin.lane.cases

/**
 * The end of a case.
 *
 * @property exitCode of the process that ran the case
 * @property text what was seen
 */
internal sealed class Verdict(val exitCode: Int, private val label: String) {
    abstract val text: String

    override fun toString(): String = "$label: $text"

    /** The rule was broken. */
    class Broken(override val text: String) : Verdict(exitCode = 1, label = "BROKEN")

    /** The rule held. */
    class Held(override val text: String) : Verdict(exitCode = 0, label = "HELD")

    /** The case could not run, so that it says nothing about the rule. */
    class NotRun(override val text: String) : Verdict(exitCode = 2, label = "could not run")

    companion object {
        /** Returns [Broken] if [isBroken], and [Held] otherwise. */
        fun of(isBroken: Boolean, text: String): Verdict = if (isBroken) Broken(text) else Held(text)
    }
}
