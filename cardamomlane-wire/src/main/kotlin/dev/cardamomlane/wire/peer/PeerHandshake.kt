package dev.cardamomlane.wire.peer

import dev.cardamomlane.core.HostId
import dev.cardamomlane.core.fleet.MemberId
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Mutual authentication of the two ends of one link, which share the fleet's secret.
 *
 * Both sides send a hello with a random nonce and then a proof: an HMAC-SHA-256, keyed with the secret, of the sender's
 * role and both hellos. Because of the role, a proof that is reflected to its sender is refused. The secret itself is
 * never sent.
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

    /**
     * The member that [hello] names, or null if its version, nonce or host can't be used. It is proven only once
     * [accepts] returns true.
     */
    public fun claimed(hello: PeerMessage.Hello): MemberId? {
        val isUsable = hello.version == PeerMessage.PROTOCOL_VERSION && hello.nonce.size == NONCE_BYTES
        return if (isUsable && hello.host.isNotBlank()) MemberId(HostId(hello.host), hello.incarnation) else null
    }

    /** The proof to send after the hello [other] arrived. */
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
