package dev.cardamomlane.wire.peer

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.MemberId
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Mutual authentication of one link by the fleet's secret.
 *
 * Both sides send a hello with a random nonce and then a proof: an HMAC-SHA-256 by the secret over the sender's role
 * and both hellos. The role keeps a proof from being reflected to its sender. The secret itself is never sent.
 */
public class PeerHandshake(
    secret: String,
    private val self: MemberId,
    private val isInitiator: Boolean,
    random: SecureRandom,
) {
    private val key = SecretKeySpec(secret.toByteArray(), MAC_ALGORITHM)
    private val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
    private val ownHello = hello()

    /** The hello to send. */
    public fun hello(): PeerMessage.Hello =
        PeerMessage.Hello(PeerMessage.PROTOCOL_VERSION, self.host.value, self.incarnation, nonce)

    /** The member that [hello] names, or null when it can't be talked to. The claim holds only after [accepts]. */
    public fun claimed(hello: PeerMessage.Hello): MemberId? {
        val isUsable = hello.version == PeerMessage.PROTOCOL_VERSION && hello.nonce.size == NONCE_BYTES
        return if (isUsable && hello.host.isNotBlank()) MemberId(HostId(hello.host), hello.incarnation) else null
    }

    /** The proof to send in answer to [other]. */
    public fun proof(other: PeerMessage.Hello): PeerMessage.Proof =
        PeerMessage.Proof(mac(isInitiator, sender = ownHello, receiver = other))

    /** True when [proof] shows that the sender of [other] knows the secret. */
    public fun accepts(other: PeerMessage.Hello, proof: PeerMessage.Proof): Boolean =
        MessageDigest.isEqual(mac(!isInitiator, sender = other, receiver = ownHello), proof.mac)

    private fun mac(senderIsInitiator: Boolean, sender: PeerMessage.Hello, receiver: PeerMessage.Hello): ByteArray {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(key)
        mac.update(if (senderIsInitiator) 1 else 0)
        mac.update(PeerCodec.encode(sender))
        return mac.doFinal(PeerCodec.encode(receiver))
    }

    private companion object {
        const val MAC_ALGORITHM = "HmacSHA256"
        const val NONCE_BYTES = 16
    }
}
