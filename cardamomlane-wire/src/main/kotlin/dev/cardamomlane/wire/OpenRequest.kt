package dev.cardamomlane.wire

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import java.net.InetSocketAddress

/**
 * The server, user and database of a session that is to be opened.
 *
 * @property parameters startup parameters besides `user` and `database`
 */
public class OpenRequest(
    public val address: InetSocketAddress,
    public val user: String,
    public val password: String,
    public val database: String,
    public val parameters: ImmutableMap<String, String> = persistentMapOf(),
)
