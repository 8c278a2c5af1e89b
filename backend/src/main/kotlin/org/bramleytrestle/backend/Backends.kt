package org.bramleytrestle.backend

/** The clients of backend servers, which share their connections. */
public class Backends private constructor(private val pools: HttpPools, options: BackendOptions) :
    AutoCloseable {
    /** The engines forward to each other and the caller reads one stream. */
    public val engineForwarded: ChainRunner = EngineForwardedChainRunner(pools, options)

    public val services: ServiceClient = HttpServiceClient(pools, options)

    public val control: EngineControl = HttpEngineControl(pools, options)

    override fun close() {
        pools.close()
    }

    public companion object {
        public fun http(options: BackendOptions = BackendOptions()): Backends =
            Backends(HttpPools(options), options)
    }
}
