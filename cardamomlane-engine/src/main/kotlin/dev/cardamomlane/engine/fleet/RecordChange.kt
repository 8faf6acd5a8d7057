package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord

/** Writes [record] if its row has [expectedVersion]; 0 means that there is none. */
public data class RecordChange(val record: GroupRecord, val expectedVersion: Long)
