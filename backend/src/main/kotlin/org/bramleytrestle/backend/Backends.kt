package org.bramleytrestle.backend

import kotlin.time.TimeSource
import org.bramleytrestle.model.StageHop

/** Clients for backend servers, which share connection pools and health probes. */
public class Backends private constructor(
    private val pools: HttpPools,
    private val options: BackendOptions
) : AutoCloseable {
    private val probes = HealthProbes(pools, options, TimeSource.Monotonic)

    public val services: ServiceClient = HttpServiceClient(pools, options, probes)

    public val control: EngineControl = HttpEngineControl(pools, options)

    /**
     * Returns a runner for chains. Runners are stateless, so one can be created for each request.
     *
     * @param replaceHop returns another engine for the layers of a failed hop, or null if there is
     * none; only used by [RunnerKind.NODE_DRIVEN].
     */
    public fun runner(
        kind: RunnerKind = RunnerKind.ENGINE_FORWARDED,
        replaceHop: (suspend (failed: StageHop) -> StageHop?)? = null
    ): ChainRunner = when (kind) {
        RunnerKind.ENGINE_FORWARDED -> EngineForwardedChainRunner(pools, options, probes)
        RunnerKind.NODE_DRIVEN -> NodeDrivenChainRunner(pools, options, probes, replaceHop)
    }

    override fun close() {
        probes.close()
        pools.close()
    }

    public companion object {
        public fun http(options: BackendOptions = BackendOptions()): Backends =
            Backends(HttpPools(options), options)
    }
}
