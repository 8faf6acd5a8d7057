package dev.cardamomlane.standin.lane.soak

import java.util.concurrent.ConcurrentHashMap

/**
 * The parts of an installation that are disturbed now, shared by all disturbers of a soak. Each part, and each target,
 * has at most one disturbance at a time.
 *
 * Safe for use by several threads.
 */
internal class DisturbedParts {
    private val parts = ConcurrentHashMap.newKeySet<DisturbedPart>()
    private val targets = ConcurrentHashMap.newKeySet<String>()

    /** Takes all of [wanted], or none of them and returns false if another disturbance meets one. */
    fun occupy(wanted: Set<DisturbedPart>): Boolean = occupyAll(parts, wanted)

    /** Gives back what [occupy] took. */
    fun release(taken: Set<DisturbedPart>) {
        parts -= taken
    }

    /** Takes all targets with one of [names], or none of them and returns false if another disturbance meets one. */
    fun occupyTargets(names: Set<String>): Boolean = occupyAll(targets, names)

    /** Gives back what [occupyTargets] took. */
    fun releaseTargets(names: Set<String>) {
        targets -= names
    }

    private fun <T> occupyAll(occupied: MutableSet<T>, wanted: Set<T>): Boolean {
        val taken = wanted.filter(occupied::add).toSet()
        if (taken.size < wanted.size) occupied -= taken
        return taken.size == wanted.size
    }
}
