package dev.cardamomlane.engine.fleet

import dev.cardamomlane.engine.group.GroupRecord
import reactor.core.publisher.Mono

/**
 * The part of the platform's store that holds what must outlast a host.
 *
 * Nothing is sent before subscription. Answers arrive on the event loop. A read that fails ends with
 * [StoreUnavailableException].
 */
public interface ControlStore {
    /** Reads every record and every member as of one moment after the subscription. */
    public fun read(): Mono<ControlRows>

    /** Replaces a group's record if its version is still [expectedVersion]; 0 means that there is none. */
    public fun writeRecord(record: GroupRecord, expectedVersion: Long): Mono<StoreWrite>

    /** Writes this host's own row, whatever it holds now. */
    public fun writeMember(member: Member): Mono<StoreWrite>

    /** Removes the row of a host that is gone. */
    public fun removeMember(name: String, expectedVersion: Long): Mono<StoreWrite>
}
