package dev.cardamomlane.standin.lane.caller

import java.util.concurrent.atomic.AtomicLong

/** Gives each statement of a run an id of its own. Safe for use by several threads. */
internal class StatementIds {
    private val last = AtomicLong(FIRST)

    fun next(): String = last.incrementAndGet().toString(radix = 16)

    private companion object {
        const val FIRST = 0x5c0e7a21d9001000L
    }
}
