package dev.cardamomlane.cli

import dev.cardamomlane.store.ListedHost

/**
 * The status of one listed host.
 *
 * @property report null if the host gave no valid answer in time
 */
internal class HostStatus(val listed: ListedHost, val report: StatusReport?)
