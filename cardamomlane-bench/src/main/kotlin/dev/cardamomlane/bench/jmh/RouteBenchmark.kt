package dev.cardamomlane.bench.jmh

import dev.cardamomlane.core.DatabaseId
import dev.cardamomlane.core.LogPosition
import dev.cardamomlane.core.TargetId
import dev.cardamomlane.core.group.GroupMonitor
import dev.cardamomlane.core.group.GroupTarget
import dev.cardamomlane.core.group.RouteChoice
import dev.cardamomlane.core.group.RouteRequest
import dev.cardamomlane.core.group.TargetRole
import dev.cardamomlane.core.group.TargetStatus
import kotlinx.collections.immutable.toImmutableList
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** Choosing the target of a statement in a group of three, and comparing positions. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public open class RouteBenchmark {
    private val targets = List(3) { GroupTarget(TargetId("orders-1-$it"), zoneDistance = it) }
    private val monitor = GroupMonitor(DatabaseId("orders-1"), targets.toImmutableList())
    private val end = LogPosition(term = 1, offset = 900)
    private val minimumPosition = LogPosition(term = 1, offset = 890)
    private val write =
        RouteRequest(write = true, minimumPosition, maxAgeMillis = null, excluded = emptySet(), load = { 1 })
    private val read =
        RouteRequest(write = false, minimumPosition, maxAgeMillis = 5_000, excluded = emptySet(), load = { 1 })

    /** Lets all targets answer some rounds. */
    @Setup
    public fun poll() {
        for (nowMillis in 0..NOW_MILLIS step 100) {
            val round = monitor.beginRound(nowMillis)
            targets.forEachIndexed { index, target ->
                val role = if (index == 0) TargetRole.PRIMARY else TargetRole.REPLICA
                val status = TargetStatus(role, fenceTerm = 1, received = end, applied = end)
                monitor.onStatus(round, target.id, status, nowMillis)
            }
        }
    }

    /** Routes a write. */
    @Benchmark
    public fun routeWrite(): RouteChoice = monitor.table.choose(write, NOW_MILLIS)

    /** Routes a read with a maximum age. */
    @Benchmark
    public fun routeRead(): RouteChoice = monitor.table.choose(read, NOW_MILLIS)

    /** Compares two positions of one term. */
    @Benchmark
    public fun comparePositions(): Int = minimumPosition.compareTo(end)

    private companion object {
        const val NOW_MILLIS = 5_000L
    }
}
