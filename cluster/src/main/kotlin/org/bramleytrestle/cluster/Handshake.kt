@file:OptIn(ExperimentalSerializationApi::class)

package org.bramleytrestle.cluster

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/** First frame of a connection, sent by the initiator. */
@Serializable
@CborArray
internal class Hello(val version: Int, val address: String, @ByteString val nonce: ByteArray)

/** Response to [Hello] with the responder's proof. */
@Serializable
@CborArray
internal class Challenge(
    val address: String,
    @ByteString val nonce: ByteArray,
    @ByteString val proof: ByteArray
)

/** The initiator's proof, which completes the handshake; message frames follow. */
@Serializable
@CborArray
internal class Proof(@ByteString val proof: ByteArray)

/** Thrown when a handshake fails. The message is meant for the log. */
internal class HandshakeException(message: String) : Exception(message)

/**
 * Mutual authentication of a new connection: each side proves knowledge of the shared secret with
 * a MAC over both nonces and both addresses. The MAC also covers the role of the sender, so that a
 * proof cannot be reflected to the side that made it.
 */
internal class Handshake(
    private val address: String,
    private val secret: ByteArray,
    private val random: SecureRandom = SecureRandom()
) {
    /** Reads and writes the frames of one connection. */
    interface FrameChannel {
        suspend fun read(): ByteArray

        suspend fun write(frame: ByteArray)
    }

    /**
     * Runs the handshake on a connection that this node opened.
     *
     * @throws HandshakeException unless the peer knows the secret.
     */
    suspend fun initiate(frames: FrameChannel) {
        val nonce = nonce()
        frames.write(encode(Hello.serializer(), Hello(VERSION, address, nonce)))
        val challenge = decode(Challenge.serializer(), frames.read())
        checkAddress(challenge.address)
        checkNonce(challenge.nonce, nonce)
        val parties = Parties(address, challenge.address, nonce, challenge.nonce)
        checkProof(challenge.proof, proof(RESPONDER, parties), challenge.address)
        frames.write(encode(Proof.serializer(), Proof(proof(INITIATOR, parties))))
    }

    /**
     * Runs the handshake on a connection that the peer opened and returns the peer's address.
     *
     * @throws HandshakeException unless the peer knows the secret.
     */
    suspend fun respond(frames: FrameChannel): String {
        val hello = decode(Hello.serializer(), frames.read())
        if (hello.version != VERSION) {
            throw HandshakeException("protocol version ${hello.version}: expected $VERSION")
        }
        checkAddress(hello.address)
        val nonce = nonce()
        checkNonce(hello.nonce, nonce)
        val parties = Parties(hello.address, address, hello.nonce, nonce)
        val challenge = Challenge(address, nonce, proof(RESPONDER, parties))
        frames.write(encode(Challenge.serializer(), challenge))
        val response = decode(Proof.serializer(), frames.read())
        checkProof(response.proof, proof(INITIATOR, parties), hello.address)
        return hello.address
    }

    private class Parties(
        val initiator: String,
        val responder: String,
        val initiatorNonce: ByteArray,
        val responderNonce: ByteArray
    )

    private fun proof(role: String, parties: Parties): ByteArray {
        val input = ByteArrayOutputStream()
        // The length prefixes of writeUTF make the encoding of the address pair unambiguous.
        DataOutputStream(input).run {
            writeUTF(role)
            writeUTF(parties.initiator)
            writeUTF(parties.responder)
            write(parties.initiatorNonce)
            write(parties.responderNonce)
        }
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        return mac.doFinal(input.toByteArray())
    }

    private fun checkProof(actual: ByteArray, expected: ByteArray, peer: String) {
        if (!MessageDigest.isEqual(actual, expected)) {
            throw HandshakeException("$peer does not know the shared secret")
        }
    }

    /**
     * Rejects this node's own address: otherwise a peer that relays this node's own frames to it
     * could pass as this node.
     */
    private fun checkAddress(peer: String) {
        if (peer == address) throw HandshakeException("peer states this node's own address")
    }

    private fun checkNonce(theirs: ByteArray, ours: ByteArray) {
        if (theirs.size != NONCE_BYTES || theirs.contentEquals(ours)) {
            throw HandshakeException("nonce: expected $NONCE_BYTES bytes other than our own nonce")
        }
    }

    private fun nonce() = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    private fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray =
        MessageCodec.cbor.encodeToByteArray(serializer, value)

    private fun <T> decode(serializer: KSerializer<T>, frame: ByteArray): T = try {
        MessageCodec.cbor.decodeFromByteArray(serializer, frame)
    } catch (e: Exception) {
        throw HandshakeException("cannot decode handshake frame of ${frame.size} bytes")
    }

    private companion object {
        const val VERSION = 1
        const val NONCE_BYTES = 32
        const val ALGORITHM = "HmacSHA256"
        const val INITIATOR = "initiator"
        const val RESPONDER = "responder"
    }
}
