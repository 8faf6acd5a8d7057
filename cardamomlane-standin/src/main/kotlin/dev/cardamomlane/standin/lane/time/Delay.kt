package dev.cardamomlane.standin.lane.time

import dev.cardamomlane.core.TimerService
import reactor.core.publisher.Mono

/** Returns a [Mono] that completes [millis] after subscription, at once if [millis] is 0. */
internal fun TimerService.delay(millis: Long): Mono<Void> {
    require(millis >= 0) { "millis must not be negative but was $millis" }
    if (millis == 0L) return Mono.empty()
    return Mono.create { sink ->
        val timer = after(millis) { sink.success() }
        sink.onCancel { timer.cancel() }
    }
}
