package org.bramleytrestle.standins.fleet

import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import org.bramleytrestle.model.DataCentre
import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.InstanceId
import org.bramleytrestle.model.InstanceRole
import org.bramleytrestle.model.LayerRange
import org.bramleytrestle.model.ModelName

/**
 * Starts nodes and stand-ins as separate processes on loopback, and registers them in the instance
 * list of the stand-in platform as a real platform does.
 *
 * @property home root directory of the repository.
 * @property workDirectory directory for settings files and logs.
 */
internal class FleetLauncher(val home: Path, private val workDirectory: Path) : AutoCloseable {
    val http = JsonHttpClient()
    private val processes = CopyOnWriteArrayList<FleetProcess>()
    private val instances = ConcurrentHashMap<String, Instance>()
    private val nodePorts = ConcurrentHashMap<String, NodePorts>()
    lateinit var platform: String
        private set

    init {
        Files.createDirectories(workDirectory)
        Runtime.getRuntime().addShutdownHook(Thread(::close))
    }

    fun startPlatform() {
        val port = freePort()
        platform = "http://$HOST:$port"
        start("platform", "bin/standin-platform", "--port", "$port")
        awaitSuccess("$platform/standin/counts")
    }

    fun startEngine(spec: EngineSpec): FleetProcess {
        val port = freePort()
        val address = "http://$HOST:$port"
        val layers = "${spec.layers.from}-${spec.layers.until}"
        val options = listOf(
            "--port", "$port",
            "--id", spec.id,
            "--model", spec.model,
            "--version", spec.version,
            "--layers", layers,
            "--model-layers", "${spec.modelLayers}",
            "--accelerator", spec.accelerator,
            "--data-centre", spec.dataCentre,
            "--micros-per-layer", "${spec.microsPerLayer}",
            "--slots", "${spec.slots}"
        )
        val process = start(spec.id, "bin/standin-engine", *options.toTypedArray())
        awaitSuccess("$address/v1/report")
        registerEngine(spec, address)
        return process
    }

    /** Starts all engines in one process, which uses less memory than one process for each. */
    fun startEngines(specs: List<EngineSpec>): FleetProcess {
        val configs = specs.map { it.config(freePort()) }
        val file = workDirectory.resolve("engines.json")
        Files.writeString(file, Json.encodeToString(configs))
        val process = start("engines", "bin/standin-engine", "--config", "$file")
        for ((spec, config) in specs.zip(configs)) {
            val address = "http://$HOST:${config.port}"
            awaitSuccess("$address/v1/report")
            registerEngine(spec, address)
        }
        return process
    }

    fun process(name: String): FleetProcess = processes.last { it.name == name }

    private fun registerEngine(spec: EngineSpec, address: String) = register(
        Instance(
            id = InstanceId(spec.id),
            role = InstanceRole.ENGINE,
            address = address,
            dataCentre = DataCentre(spec.dataCentre),
            pool = spec.pool,
            model = ModelName(spec.model),
            version = spec.version,
            layers = spec.layers,
            accelerator = spec.accelerator
        )
    )

    fun startService(id: String, pool: String, dataCentre: String): FleetProcess {
        val port = freePort()
        val address = "http://$HOST:$port"
        val process = start(id, "bin/standin-service", "--port", "$port", "--id", id)
        awaitSuccess("$address/v1/report")
        register(
            Instance(
                id = InstanceId(id),
                role = InstanceRole.SERVICE,
                address = address,
                dataCentre = DataCentre(dataCentre),
                pool = pool
            )
        )
        return process
    }

    /** Starts a node; [extraSettings] are lines appended to its settings file. */
    fun startNode(id: String, dataCentre: String, extraSettings: String = ""): FleetProcess {
        val ports = nodePorts.getOrPut(id) { NodePorts(freePort(), freePort(), freePort()) }
        val seeds = nodePorts.filterKeys { it != id }.values.map { "$HOST:${it.peers}" }
        val file = workDirectory.resolve("$id.yaml")
        Files.writeString(
            file,
            """
            |instance: $id
            |dataCentre: $dataCentre
            |callers: {host: $HOST, port: ${ports.callers}}
            |operators: {host: $HOST, port: ${ports.operators}}
            |peers: {host: $HOST, port: ${ports.peers}}
            |platform: $platform
            |clusterSecret: loopback-fleet-secret
            |seeds: $seeds
            |operatorTokens: [{name: fleet, sha256: $TOKEN_SHA256}]
            |$extraSettings
            |
            """.trimMargin()
        )
        val process = start(id, "bin/bramleytrestle", "--settings", "$file")
        register(
            Instance(
                id = InstanceId(id),
                role = InstanceRole.ENTRY,
                address = callerUrl(id),
                dataCentre = DataCentre(dataCentre),
                peerAddress = "$HOST:${ports.peers}"
            )
        )
        awaitSuccess("${callerUrl(id)}/ready")
        return process
    }

    fun callerUrl(node: String): String = "http://$HOST:${nodePorts.getValue(node).callers}"

    fun operatorUrl(node: String): String = "http://$HOST:${nodePorts.getValue(node).operators}"

    fun address(instance: String): String = instances.getValue(instance).address

    fun instance(id: InstanceId): Instance = instances.getValue(id.value)

    fun register(instance: Instance) {
        instances[instance.id.value] = instance
        val body = Json.encodeToString(Instance.serializer(), instance)
        http.put("$platform/standin/instances/${instance.id}", body)
    }

    fun unregister(id: String) {
        instances.remove(id)
        http.delete("$platform/standin/instances/$id")
    }

    /** Runs `bramleyctl` against [node] and returns its exit code and output. */
    fun bramleyctl(node: String, vararg arguments: String): Pair<Int, String> {
        val process = ProcessBuilder(
            listOf("${home.resolve("bin/bramleyctl")}") + arguments
        ).redirectErrorStream(true).apply {
            environment()["BRAMLEYCTL_NODE"] = operatorUrl(node)
            environment()["BRAMLEYCTL_TOKEN"] = TOKEN
        }.start()
        val output = process.inputStream.bufferedReader().readText()
        return process.waitFor() to output
    }

    override fun close() {
        processes.forEach { it.kill() }
    }

    private fun start(name: String, program: String, vararg arguments: String): FleetProcess {
        val log = workDirectory.resolve("$name.log")
        val builder = ProcessBuilder(listOf("${home.resolve(program)}") + arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        return FleetProcess(name, builder.start(), log).also { processes += it }
    }

    private fun awaitSuccess(url: String, timeout: Duration = START_TIMEOUT) {
        val start = TimeSource.Monotonic.markNow()
        while (!http.isSuccessful(url)) {
            check(start.elapsedNow() < timeout) {
                "no successful response from $url within $timeout; see the logs in $workDirectory"
            }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun freePort(): Int =
        ServerSocket(0, 1, InetAddress.getByName(HOST)).use { it.localPort }

    companion object {
        const val HOST = "127.0.0.1"
        const val TOKEN = "loopback-operator"
        private const val TOKEN_SHA256 =
            "f309f6d82cdc3d07c141f5cb71add86403e20d52f2e4020313b9cdb76dbc1215"
        private const val POLL_MILLIS = 50L
        private val START_TIMEOUT = 30.seconds
    }
}
