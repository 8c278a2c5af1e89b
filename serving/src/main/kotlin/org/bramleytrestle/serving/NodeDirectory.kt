package org.bramleytrestle.serving

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import java.security.SecureRandom
import java.util.HexFormat
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import org.bramleytrestle.store.ObjectStore
import org.bramleytrestle.store.StoreError
import org.bramleytrestle.store.StoredObject

/** Peer discovery through the store: the nodes' shared secret and their peer addresses. */
public class NodeDirectory(private val store: ObjectStore) {
    private var ownSecret: String? = null
    private var ownEntry: Pair<String, JsonObject>? = null

    /** The secret that all nodes share; the first node to ask creates it. */
    public suspend fun secret(): ByteArray {
        while (true) {
            val found = store.get(SECRETS, CURRENT).mapBoth(
                { (it.value as? JsonPrimitive)?.contentOrNull.orEmpty() },
                { error -> if (error == StoreError.NOT_FOUND) createSecret() else null }
            )
            if (found != null && SECRET.matches(found)) {
                ownSecret = found
                return HexFormat.of().parseHex(found)
            }
            if (found != null) {
                log.error { "membership: $SECRETS/$CURRENT: expected $SECRET_BYTES bytes in hex" }
            }
            delay(RETRY_DELAY)
        }
    }

    /**
     * Registers the address at which peers reach node [id], replacing an earlier address.
     *
     * @param capacity how well the node can serve other nodes.
     */
    public suspend fun register(
        id: String,
        peerAddress: String,
        dataCentre: String,
        capacity: Int = 0
    ) {
        val value = buildJsonObject {
            put(ADDRESS, peerAddress)
            put(DATA_CENTRE, dataCentre)
            put(CAPACITY, capacity)
        }
        ownEntry = id to value
        writeEntry(id, value)
    }

    /**
     * Writes the secret and this node's registration again, which a store that came back from an
     * older copy may have lost. Nodes that start later would form another cluster or not know this
     * one.
     */
    public suspend fun writeAgain() {
        ownSecret?.let { keepSecret(JsonPrimitive(it)) }
        ownEntry?.let { (id, value) -> writeEntry(id, value) }
    }

    private suspend fun keepSecret(value: JsonPrimitive) {
        while (true) {
            val error = store.create(SECRETS, CURRENT, value).mapBoth({ return }, { it })
            if (error == StoreError.ALREADY_EXISTS) {
                val known = store.get(SECRETS, CURRENT).getOrElse { null }
                if (known?.value == value) return
                // A node that started in between created another one, which nobody else uses.
                if (known != null) {
                    log.warn { "membership: replacing a secret newer than the store's return" }
                    if (store.update(SECRETS, CURRENT, value, known.version).isOk) return
                }
            }
            log.warn { "membership: the secret was not written again: $error" }
            delay(RETRY_DELAY)
        }
    }

    private suspend fun writeEntry(id: String, value: JsonObject) {
        while (true) {
            val error = store.create(NODES, id, value).mapBoth({ return }, { it })
            if (error == StoreError.ALREADY_EXISTS) {
                val known = store.get(NODES, id).getOrElse { null }
                if (known?.value == value) return
                if (known != null && update(known, value).isOk) return
            }
            log.warn { "membership: registration of $id failed: $error" }
            delay(RETRY_DELAY)
        }
    }

    /** Peer addresses of all nodes that have ever registered. */
    public suspend fun peers(): Result<List<String>, StoreError> = store.list(NODES).map { found ->
        val listed = found.items.mapNotNull(::registration)
        // Registrations are never removed, so one that is missing was lost by the store.
        registered = (registered + listed).associateBy { it.id }.values.toList()
        found.items.mapNotNull(::address)
    }

    /** All nodes that calls of [peers] have found, including those that are gone for good. */
    @Volatile
    public var registered: List<NodeRegistration> = emptyList()
        private set

    // Nodes of earlier versions register the address alone.
    private fun address(item: StoredObject) = when (val value = item.value) {
        is JsonObject -> (value[ADDRESS] as? JsonPrimitive)?.contentOrNull
        is JsonPrimitive -> value.contentOrNull
        else -> null
    }

    private fun registration(item: StoredObject): NodeRegistration? {
        val value = item.value as? JsonObject ?: return null
        return NodeRegistration(
            id = item.name,
            dataCentre = (value[DATA_CENTRE] as? JsonPrimitive)?.contentOrNull ?: return null,
            capacity = (value[CAPACITY] as? JsonPrimitive)?.intOrNull ?: 0
        )
    }

    private suspend fun update(known: StoredObject, value: JsonObject) =
        store.update(NODES, known.name, value, known.version)

    private suspend fun createSecret(): String? {
        val bytes = ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes)
        val text = HexFormat.of().formatHex(bytes)
        return store.create(SECRETS, CURRENT, JsonPrimitive(text)).mapBoth({ text }, { null })
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val NODES = "entry-nodes"
        const val SECRETS = "peer-secrets"
        const val CURRENT = "current"
        const val SECRET_BYTES = 32
        val SECRET = Regex("[0-9a-f]{${2 * SECRET_BYTES}}")
        const val ADDRESS = "address"
        const val DATA_CENTRE = "dataCentre"
        const val CAPACITY = "capacity"

        /** Delay between two attempts while the store is unavailable. */
        val RETRY_DELAY = 300.milliseconds
    }
}
