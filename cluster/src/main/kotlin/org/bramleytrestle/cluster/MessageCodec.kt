@file:OptIn(ExperimentalSerializationApi::class)

package org.bramleytrestle.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Encodes a message as a tag byte and a CBOR array; field names would double the size. */
internal object MessageCodec {
    val cbor: Cbor = Cbor {
        encodeDefaults = true
        useDefiniteLengthEncoding = true
        alwaysUseByteString = true
        ignoreUnknownKeys = true
    }

    private class Entry<T : Message>(val tag: Byte, val serializer: KSerializer<T>)

    // Tags are part of the wire format: do not renumber or reuse them.
    private val entries: Map<Class<out Message>, Entry<out Message>> = mapOf(
        Ping::class.java to Entry(1, Ping.serializer()),
        Ack::class.java to Entry(2, Ack.serializer()),
        PingRequest::class.java to Entry(3, PingRequest.serializer()),
        Updates::class.java to Entry(4, Updates.serializer()),
        TableDigests::class.java to Entry(5, TableDigests.serializer()),
        TableEntries::class.java to Entry(6, TableEntries.serializer()),
        ChangePush::class.java to Entry(7, ChangePush.serializer()),
        ChangeRequest::class.java to Entry(8, ChangeRequest.serializer()),
        StateRequest::class.java to Entry(9, StateRequest.serializer()),
        StateTransfer::class.java to Entry(10, StateTransfer.serializer()),
        Reports::class.java to Entry(11, Reports.serializer()),
        Demand::class.java to Entry(12, Demand.serializer()),
        Grant::class.java to Entry(13, Grant.serializer()),
        Ask::class.java to Entry(14, Ask.serializer()),
        Answer::class.java to Entry(15, Answer.serializer())
    )
    private val byTag = entries.values.associateBy { it.tag }

    fun encode(message: Message): ByteArray {
        @Suppress("UNCHECKED_CAST")
        val entry = entries.getValue(message.javaClass) as Entry<Message>
        return byteArrayOf(entry.tag) + cbor.encodeToByteArray(entry.serializer, message)
    }

    /** @throws SerializationException if [frame] is not a message of this version. */
    fun decode(frame: ByteArray): Message {
        if (frame.isEmpty()) throw SerializationException("empty frame: expected a message")
        val entry = byTag[frame[0]]
            ?: throw SerializationException("message tag ${frame[0]}: expected 1 to ${byTag.size}")
        return try {
            cbor.decodeFromByteArray(entry.serializer, frame.copyOfRange(1, frame.size))
        } catch (e: SerializationException) {
            throw e
        } catch (e: Exception) {
            // The CBOR decoder reports some malformed input with other exceptions.
            throw SerializationException("malformed message with tag ${frame[0]}", e)
        }
    }
}
