package org.bramleytrestle.backend

internal class EngineForwardedChainRunnerTest : ChainRunnerContract() {
    override fun runner(backends: Backends): ChainRunner = backends.engineForwarded
}
