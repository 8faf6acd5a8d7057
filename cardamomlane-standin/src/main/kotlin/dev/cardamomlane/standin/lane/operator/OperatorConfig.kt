package dev.cardamomlane.standin.lane.operator

import dev.cardamomlane.standin.lane.wire.PlatformWords
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The configuration that the operator writes to the platform's store, in full. */
@Serializable
internal data class OperatorConfig(
    @SerialName("version") val revision: Long,
    @SerialName(PlatformWords.ROUTES) val routes: List<Route>,
    @SerialName(PlatformWords.GROUPS) val groups: List<Group>,
    @SerialName(PlatformWords.CUSTOMERS) val customers: List<Customer>,
    val limits: Limits = Limits(),
) {
    /**
     * Leads the callers of [database] to [group].
     *
     * @property maxStaleMillis how old a read may be, or null if reads are always current
     */
    @Serializable
    data class Route(
        val name: String,
        @SerialName(PlatformWords.DATABASE) val database: String,
        @SerialName(PlatformWords.ROUTE_TYPE) val type: String,
        @SerialName(PlatformWords.GROUP) val group: String,
        @SerialName(PlatformWords.TIMEOUT_MILLIS) val timeoutMillis: Long,
        @SerialName(PlatformWords.GOAL_MILLIS) val goalMillis: Long,
        @SerialName(PlatformWords.PRIORITY) val priority: Int = 1,
        @SerialName(PlatformWords.MAX_STALE_MILLIS) val maxStaleMillis: Long? = null,
        @SerialName("public") val isPublic: Boolean = false,
        val attempts: Int = 2,
        val prefix: String = "/",
    )

    @Serializable
    data class Group(
        val name: String,
        @SerialName(PlatformWords.MAX_CONNECTIONS) val maxConnections: Int,
        @SerialName(PlatformWords.SYNC_REPLICAS) val syncReplicaCount: Int = 0,
        val healthPath: String = PlatformWords.HEALTH_PATH,
        val protocol: String = "h1",
        val tls: Boolean = false,
    )

    @Serializable
    data class Customer(
        val name: String,
        @SerialName(PlatformWords.KEYS) val keys: List<String>,
        @SerialName(PlatformWords.RATE_PER_SECOND) val ratePerSecond: Int,
        val burst: Int = ratePerSecond,
        @SerialName(PlatformWords.PRIORITY) val priority: Int = 1,
    )

    @Serializable
    data class Limits(
        val maxHeaderBytes: Int = 16_384,
        val maxBodyBytes: Int = 262_144,
        @SerialName(PlatformWords.HEADER_MILLIS) val headerMillis: Long = 3_000,
        @SerialName(PlatformWords.IDLE_MILLIS) val idleMillis: Long = 15_000,
        @SerialName(PlatformWords.TRANSACTION_IDLE_MILLIS) val transactionIdleMillis: Long = 3_000,
    )

    /** Returns the next configuration, in which [customer] has only [keys]. */
    fun withKeys(customer: String, keys: List<String>): OperatorConfig = copy(
        revision = revision + REVISION_STEP,
        customers = customers.map { if (it.name == customer) it.copy(keys = keys) else it },
    )

    /** Returns the route of [database], or null if there is none. */
    fun route(database: String): Route? = routes.find { it.database == database }

    /** Returns the next configuration, which has [routes]. */
    fun withRoutes(routes: List<Route>): OperatorConfig = copy(revision = revision + REVISION_STEP, routes = routes)

    companion object {
        private const val REVISION_STEP = 3
        private const val FIRST_REVISION = 9L

        /** The database of the route whose reads are always current. */
        const val CURRENT_DATABASE = "orders"

        /** The database of the route whose reads may be [BOUNDED_MILLIS] old. */
        const val BOUNDED_DATABASE = "catalogue"
        const val BOUNDED_MILLIS = 1_500L

        /** The database of the route whose reads see their session's commits and may be [SESSION_MILLIS] old. */
        const val SESSION_DATABASE = "drafts"
        const val SESSION_MILLIS = 2_500L

        /** Returns the first configuration: all routes to [group], none to [otherGroups], and customers with two keys each. */
        fun first(
            group: Group,
            customerCount: Int,
            ratePerSecond: Int,
            otherGroups: List<Group> = emptyList(),
        ): OperatorConfig = OperatorConfig(
            revision = FIRST_REVISION,
            routes = listOf(
                Route("r-orders", CURRENT_DATABASE, PlatformWords.PRIMARY, group.name, 1_000, goalMillis = 200),
                Route(
                    "r-catalogue",
                    BOUNDED_DATABASE,
                    PlatformWords.BOUNDED,
                    group.name,
                    timeoutMillis = 3_000,
                    goalMillis = 800,
                    priority = 2,
                    maxStaleMillis = BOUNDED_MILLIS,
                ),
                Route(
                    "r-drafts",
                    SESSION_DATABASE,
                    PlatformWords.SESSION,
                    group.name,
                    timeoutMillis = 2_000,
                    goalMillis = 400,
                    maxStaleMillis = SESSION_MILLIS,
                ),
            ),
            groups = listOf(group) + otherGroups,
            customers = List(customerCount) { Customer("club$it", listOf("key-a-$it", "key-b-$it"), ratePerSecond) },
        )
    }
}
