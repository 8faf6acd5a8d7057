package dev.cardamomlane.standin.session

/** A commit took effect, and its connection must close before the answer. */
internal class AnswerLostException : RuntimeException("answer lost by a fault")
