package dev.cardamomlane.standin.session

/** Thrown after a commit that took effect when an injected fault closes the connection without an answer. */
internal class AnswerLostException : RuntimeException("the answer to a commit is dropped by an injected fault")
