package dev.cardamomlane.core.fleet

/**
 * The question that a member sends to some others at each heartbeat.
 *
 * @property level the level of the asking member
 */
public data class PeerQuestion(val questionId: Long, val level: KnowledgeLevel)
