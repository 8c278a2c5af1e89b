package org.bramleytrestle.standins.fleet

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A process that the launcher started; only these are ever signalled. */
internal class FleetProcess(val name: String, private val process: Process, val log: Path) {
    val alive: Boolean get() = process.isAlive
    val pid: Long get() = process.pid()

    /** Ends the process at once, as a machine failure does. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Asks for a graceful shutdown and returns whether the process ended within [limit]. */
    fun terminate(limit: Duration): Boolean {
        process.destroy()
        return process.waitFor(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Stops the process's threads without ending it. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    private fun signal(name: String) {
        if (alive) ProcessBuilder("kill", "-$name", "$pid").start().waitFor()
    }
}
