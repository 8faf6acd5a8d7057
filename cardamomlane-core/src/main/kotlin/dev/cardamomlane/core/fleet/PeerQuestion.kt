package dev.cardamomlane.core.fleet

/**
 * What a member asks another at each heartbeat.
 *
 * @property level what the asker knows
 */
public data class PeerQuestion(val questionId: Long, val level: KnowledgeLevel)
