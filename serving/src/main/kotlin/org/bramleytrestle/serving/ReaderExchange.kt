package org.bramleytrestle.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.guarded

/**
 * Passes what the nodes of a data centre know of backend servers on to the others.
 *
 * Followers of the store exchange loads and failures with the readers of their data centre, see
 * [StoreFollower]; here the readers exchange them with each other.
 *
 * @param reads whether this node reads the store for others.
 * @param readers the other nodes that do so, of this data centre first.
 * @param ask sends a question to a node; null if it cannot answer.
 */
public class ReaderExchange(
    private val loads: LoadExchange,
    private val failures: FailureExchange,
    private val reads: () -> Boolean,
    private val readers: () -> List<InstanceId>,
    private val ask: suspend (InstanceId, ByteArray) -> ByteArray?
) {
    private var nextReader = 0

    /** Exchanges with other readers until cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            delay(StoreFollower.ASK_INTERVAL)
            if (!reads() || !loads.isUseful) continue
            guarded("exchange") {
                coroutineScope { for (reader in nextReaders()) launch { askOne(reader) } }
            }
        }
    }

    /** Takes turns among the readers, so that a node's traffic does not grow with their number. */
    private fun nextReaders(): List<InstanceId> {
        val known = readers()
        if (known.isEmpty()) return emptyList()
        val count = minOf(known.size, READERS_PER_ROUND)
        val start = nextReader % known.size
        nextReader = start + count
        return List(count) { known[(start + it) % known.size] }
    }

    private suspend fun askOne(reader: InstanceId) {
        val question = RelayQuestion(emptyMap(), loads = loads.all())
        val bytes = withTimeoutOrNull(ASK_TIMEOUT) { ask(reader, RelayCodec.encode(question)) }
            ?: return
        try {
            val answer = RelayCodec.answer(bytes)
            loads.apply(answer.loads)
            failures.adopt(answer.failed)
        } catch (e: SerializationException) {
            log.warn { "exchange: answer of node ${reader.value} cannot be read: ${e.message}" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ASK_TIMEOUT = 250.milliseconds
        const val READERS_PER_ROUND = 3
    }
}
