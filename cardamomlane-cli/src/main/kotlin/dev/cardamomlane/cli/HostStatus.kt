package dev.cardamomlane.cli

import dev.cardamomlane.store.ListedHost

/**
 * What one listed host answered.
 *
 * @property report null when the host did not answer
 */
internal class HostStatus(val listed: ListedHost, val report: StatusReport?)
