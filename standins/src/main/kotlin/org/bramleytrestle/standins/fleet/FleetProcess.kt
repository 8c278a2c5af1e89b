package org.bramleytrestle.standins.fleet

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A process started by the launcher. No other process is ever signalled. */
internal class FleetProcess(val name: String, private val process: Process, val log: Path) {
    val alive: Boolean get() = process.isAlive
    val pid: Long get() = process.pid()

    /** Kills the process without a graceful shutdown, to simulate a machine failure. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Requests a graceful shutdown and returns whether the process exited within [timeout]. */
    fun terminate(timeout: Duration): Boolean {
        process.destroy()
        return process.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Suspends all threads of the process. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        if (alive) ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
    }
}
