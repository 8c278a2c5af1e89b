package org.bramleytrestle.node.config

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import org.bramleytrestle.backend.RunnerKind

/**
 * Start-up configuration of a node, read from its settings file.
 *
 * @property instance id of this node.
 * @property callers listener for callers.
 * @property operators listener for operators.
 * @property peers listener for connections from other nodes.
 * @property platform base URL of the object API.
 * @property clusterSecret shared by all nodes, at least 16 characters.
 * @property seeds `host:port` of the peer listeners that this node contacts first.
 * @property serverSubset maximum number of servers per model and layer range that this node
 * uses.
 * @property linkMicros one-way latency between data centres in microseconds, keyed by `from>to`.
 * @property keepSeconds how long callers may cache a response of `/v1/entries`, in seconds.
 * @property queueLimit maximum number of requests queued on this node.
 * @property maxBodyBytes maximum size of a request body from a caller, in bytes.
 */
@Serializable
internal data class NodeConfig(
    val instance: String,
    val dataCentre: String,
    val callers: ListenAddress,
    val operators: ListenAddress,
    val peers: ListenAddress,
    val platform: String,
    val clusterSecret: String,
    val seeds: List<String> = emptyList(),
    val operatorTokens: List<OperatorToken> = emptyList(),
    val serverSubset: Int = 128,
    val chainMode: RunnerKind = RunnerKind.ENGINE_FORWARDED,
    val routing: RoutingMode = RoutingMode.STANDARD,
    val linkMicros: Map<String, Long> = emptyMap(),
    val keepSeconds: Long = 30,
    val queueLimit: Int = 2_000,
    val maxBodyBytes: Long = 1_000_000
) {
    init {
        require(instance.isNotBlank()) { "instance: got an empty string, expected an id" }
        require(clusterSecret.length >= MIN_SECRET_CHARS) {
            "clusterSecret: got ${clusterSecret.length} characters, " +
                "expected at least $MIN_SECRET_CHARS"
        }
        require(keepSeconds >= 0) { "keepSeconds: got $keepSeconds, expected 0 or more" }
        require(serverSubset > 0) { "serverSubset: got $serverSubset, expected 1 or more" }
        require(queueLimit > 0) { "queueLimit: got $queueLimit, expected 1 or more" }
    }

    companion object {
        private const val MIN_SECRET_CHARS = 16

        /** Parses a settings file. An error names the location and the expected value. */
        fun parse(text: String): Result<NodeConfig, String> = try {
            Ok(Yaml.default.decodeFromString(serializer(), text))
        } catch (e: YamlException) {
            Err("${e.path.toHumanReadableString()}, line ${e.line}: ${e.message}")
        } catch (e: IllegalArgumentException) {
            Err(e.message.orEmpty())
        }
    }
}
