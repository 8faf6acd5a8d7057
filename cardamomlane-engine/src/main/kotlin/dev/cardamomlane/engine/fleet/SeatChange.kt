package dev.cardamomlane.engine.fleet

/** Gives [seat] to [member], or vacates it for null, if its row has [expectedVersion]; 0 means that it is vacant. */
public data class SeatChange(val seat: Int, val member: Member?, val expectedVersion: Long)
