@file:OptIn(ExperimentalSerializationApi::class)

package org.bramleytrestle.serving

import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Encodes questions and answers between nodes as CBOR; answers with items are compressed. */
internal object RelayCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(question: RelayQuestion): ByteArray =
        cbor.encodeToByteArray(RelayQuestion.serializer(), question)

    /** @throws SerializationException if [bytes] are not a question. */
    fun question(bytes: ByteArray): RelayQuestion = decode(RelayQuestion.serializer(), bytes)

    fun encode(answer: RelayAnswer): ByteArray {
        val plain = cbor.encodeToByteArray(RelayAnswer.serializer(), answer)
        if (answer.kinds.all { it.items.isEmpty() }) return byteArrayOf(PLAIN) + plain
        val out = ByteArrayOutputStream()
        out.write(COMPRESSED.toInt())
        val deflater = Deflater(Deflater.BEST_SPEED)
        DeflaterOutputStream(out, deflater).use { it.write(plain) }
        deflater.end()
        return out.toByteArray()
    }

    /** @throws SerializationException if [bytes] are not an answer or exceed [MAX_BYTES]. */
    fun answer(bytes: ByteArray): RelayAnswer {
        val body = bytes.drop(1).toByteArray()
        return when (bytes.firstOrNull()) {
            PLAIN -> decode(RelayAnswer.serializer(), body)
            COMPRESSED -> decode(RelayAnswer.serializer(), inflate(body))
            else -> throw SerializationException(
                "answer form ${bytes.firstOrNull()}: expected 0, 1"
            )
        }
    }

    private fun inflate(bytes: ByteArray): ByteArray = try {
        val plain = InflaterInputStream(ByteArrayInputStream(bytes)).readNBytes(MAX_BYTES + 1)
        if (plain.size > MAX_BYTES) throw SerializationException("answer exceeds $MAX_BYTES bytes")
        plain
    } catch (e: IOException) {
        throw SerializationException("answer cannot be decompressed", e)
    }

    private fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (e: SerializationException) {
        throw e
    } catch (e: Exception) {
        // The CBOR decoder reports some malformed input with other exceptions.
        throw SerializationException("malformed relay message", e)
    }

    private const val PLAIN: Byte = 0
    private const val COMPRESSED: Byte = 1

    /** Several thousand server entries and a configuration of the store's largest size. */
    private const val MAX_BYTES = 16 * 1024 * 1024
}
