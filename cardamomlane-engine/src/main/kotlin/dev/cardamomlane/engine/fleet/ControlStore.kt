package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord
import reactor.core.publisher.Mono

/**
 * The rows in the platform's store that outlast a host: group records and members.
 *
 * Nothing is sent before subscription. Results arrive on the event loop. A read that fails ends with
 * [StoreUnavailableException]; a write that fails ends with a [StoreWrite] that says so.
 */
public interface ControlStore {
    /** Reads every record and every member as of one moment after the subscription. */
    public fun read(): Mono<ControlRows>

    /** Replaces a group's record if its version is still [expectedVersion]; 0 means that there is none. */
    public fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite>

    /** Gives [seat] to [member], this host, if the seat's row still has [expectedVersion]; 0 means that it is vacant. */
    public fun writeMember(seat: Int, member: Member, expectedVersion: Long): Mono<StoreWrite>

    /** Vacates [seat] if its row still has [expectedVersion]. */
    public fun removeMember(seat: Int, expectedVersion: Long): Mono<StoreWrite>
}
