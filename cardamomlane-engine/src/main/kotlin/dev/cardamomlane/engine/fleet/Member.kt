package dev.cardamomlane.engine.fleet

import kotlinx.serialization.Serializable

/**
 * One host of record.
 *
 * @property incarnation differs between the runs of the daemon on one host
 * @property address where the host hears other hosts, as `ip:port`
 * @property snapshotAddress where the host hands out what it knows of configuration and targets, as `ip:port`
 */
@Serializable
public data class Member(val name: String, val incarnation: Long, val address: String, val snapshotAddress: String)
