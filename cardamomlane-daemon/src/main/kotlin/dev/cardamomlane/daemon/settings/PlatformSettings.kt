package dev.cardamomlane.daemon.settings

import java.net.URI

/** Where the platform's table and host list are. The credentials are never logged. */
internal class PlatformSettings(
    val endpoint: URI,
    val table: String,
    val region: String,
    val accessKey: String,
    val secretKey: String,
    val hostListUrl: URI,
)
