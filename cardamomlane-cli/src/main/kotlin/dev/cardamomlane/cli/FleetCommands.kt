package dev.cardamomlane.cli

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import picocli.CommandLine.Command
import picocli.CommandLine.ParentCommand
import java.time.Instant
import java.util.concurrent.Callable

/** Prints the accepted and the proposed revision and what each listed host answers to `GET /status`. */
@Command(name = "status", description = ["Shows which revision each host has in force and since when."])
internal class StatusCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    override fun call(): Int = parent.withConnection { connection ->
        val head = connection.head()
        val statuses = connection.statuses()
        if (parent.json) {
            val answer =
                buildJsonObject {
                    put("accepted", head.accepted)
                    put("proposed", head.proposed)
                    putJsonArray("hosts") {
                        statuses.forEach { status ->
                            addJsonObject {
                                put("host", status.listed.host.value)
                                put("state", status.listed.state.name)
                                put("answered", status.report != null)
                                put("revision", status.report?.revision)
                                put("revisionInForceSinceMillis", status.report?.revisionInForceSinceMillis)
                                put("standing", status.report?.standing)
                                put("ready", status.report?.ready)
                            }
                        }
                    }
                }
            parent.out.println(answer)
        } else {
            parent.out.println(
                "accepted ${head.accepted}, " + (
                    head.proposed?.let {
                        "proposed $it"
                    } ?: "none proposed"
                    ),
            )
            statuses.forEach { parent.out.println(line(it)) }
        }
        ExitCodes.OK
    }

    private fun line(status: HostStatus): String {
        val host = "${status.listed.host} ${status.listed.availabilityZone} ${status.listed.state.name.lowercase()}"
        val report = status.report ?: return "$host no answer"
        val since = report.revisionInForceSinceMillis?.let { " since ${Instant.ofEpochMilli(it)}" }.orEmpty()
        val standing = if (report.standing) "in standing" else "out of standing"
        val ready = if (report.ready) "ready" else "not ready"
        val groups = report.groups.joinToString("") { " ${it.database}=${it.primary}@${it.term}" }
        return "$host revision ${report.revision}$since $standing $ready$groups"
    }
}

/** Lists the hosts that the platform knows. */
@Command(name = "host", description = ["Lists hosts."])
internal class HostCommand {
    @ParentCommand
    lateinit var parent: LaneCtl

    @Command(name = "list", description = ["Lists the hosts that the platform knows."])
    fun list(): Int {
        val hosts = parent.withConnection { it.hosts() }
        if (parent.json) {
            val answer =
                buildJsonArray {
                    hosts.forEach {
                        addJsonObject {
                            put("host", it.host.value)
                            put("availabilityZone", it.availabilityZone.value)
                            put("peerAddress", it.peerAddress)
                            put("adminAddress", it.adminAddress)
                            put("state", it.state.name)
                        }
                    }
                }
            parent.out.println(answer)
        } else {
            hosts.forEach {
                parent.out.println("${it.host} ${it.availabilityZone} ${it.state.name.lowercase()} ${it.adminAddress}")
            }
        }
        return ExitCodes.OK
    }
}

/** Prints the version in the manifest of the jar, or `development` when there is none. */
@Command(name = "version", description = ["Prints the version."])
internal class VersionCommand : Callable<Int> {
    @ParentCommand
    lateinit var parent: LaneCtl

    override fun call(): Int {
        parent.out.println("lanectl ${LaneCtl::class.java.`package`.implementationVersion ?: "development"}")
        return ExitCodes.OK
    }
}
