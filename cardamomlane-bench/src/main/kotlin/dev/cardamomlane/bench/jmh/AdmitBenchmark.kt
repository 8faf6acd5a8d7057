package dev.cardamomlane.bench.jmh

import dev.cardamomlane.core.CustomerId
import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.MemberId
import dev.cardamomlane.core.limits.Admission
import dev.cardamomlane.core.limits.Allowance
import dev.cardamomlane.core.limits.ShareBasis
import dev.cardamomlane.core.limits.ShareLendingLimiter
import dev.cardamomlane.core.limits.ShareTable
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** Admitting a request of one customer while others are idle. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public open class AdmitBenchmark {
    /** The number of customers that have a limit. One of them sends. */
    @Param("8", "10000")
    public var customerCount: Int = 8

    private val members = List(8) { MemberId(HostId("host-$it"), incarnation = 1) }
    private val customer = CustomerId("customer-0")
    private lateinit var limiter: ShareLendingLimiter
    private var nowMillis = 0L

    /** Installs the shares of all customers. */
    @Setup
    public fun install() {
        val limits = List(customerCount) { CustomerId("customer-$it") to Allowance(ratePerSecond = 1e6, burst = 1e6) }
        val basis = ShareBasis(members.toImmutableList(), limits.toMap().toImmutableMap())
        limiter = ShareLendingLimiter(members.first(), outbox = { _, _ -> })
        limiter.install(ShareTable(persistentListOf(basis)), nowMillis)
    }

    /** Admits one request per simulated millisecond. */
    @Benchmark
    public fun admit(): Admission = limiter.admit(customer, inStanding = true, nowMillis++)
}
