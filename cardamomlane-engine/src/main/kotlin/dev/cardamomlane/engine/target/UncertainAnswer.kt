package dev.cardamomlane.engine.target

/**
 * The kinds of answers of targets that are not certainly the first ones to their statements, by which they are counted.
 *
 * @property label names the kind in metrics
 * @property event names the kind in the log
 */
public enum class UncertainAnswer(public val label: String, public val event: String) {
    /** A second answer to an earlier statement, which was dropped. */
    REPETITION("repetition", "answer_repeated"),

    /** An error or a status that may be a second one; the connection was closed. */
    AMBIGUOUS("ambiguous", "answer_ambiguous"),

    /** An answer to no statement of the connection, which was closed. */
    UNEXPECTED("unexpected", "answer_unexpected"),

    /** A success of a begin that may be the one of an earlier begin. */
    DOUBTFUL_BEGIN("doubtful_begin", "begin_doubtful"),
}
