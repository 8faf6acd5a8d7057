package dev.cardamomlane.core.queue

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Tickets that stopped waiting in a [SlotQueue].
 *
 * @property started tickets that now hold a slot, in the order to start them
 * @property expired tickets whose deadline has passed; refuse them as not run
 */
public data class Dispatch(
    val started: ImmutableList<QueueTicket> = persistentListOf(),
    val expired: ImmutableList<QueueTicket> = persistentListOf(),
)
