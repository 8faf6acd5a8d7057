package dev.cardamomlane.engine.fleet

/** A seat to take, if its row still has [expectedVersion]; 0 means that the seat is vacant. */
internal data class SeatClaim(val seat: Int, val expectedVersion: Long)
