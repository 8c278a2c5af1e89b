package org.bramleytrestle.routing

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.LoadReport

/**
 * Speeds of servers. A server that has not reported its speed gets the mean of its accelerator, or
 * of all servers; otherwise a new server would appear infinitely fast and attract all work.
 */
internal class ServerSpeeds(reports: () -> List<LoadReport>) {
    private val measured by lazy { reports().filter { it.microsPerLayer > 0 } }
    private val byAccelerator by lazy {
        measured.groupBy { it.accelerator }.mapValues { mean(it.value) }
    }
    private val overall by lazy { if (measured.isEmpty()) 1.0 else mean(measured) }

    fun microsPerLayer(instance: Instance, report: LoadReport?): Double = when {
        report != null && report.microsPerLayer > 0 -> report.microsPerLayer.toDouble()
        else -> byAccelerator[report?.accelerator ?: instance.accelerator] ?: overall
    }

    private fun mean(reports: List<LoadReport>) = reports.map { it.microsPerLayer }.average()
}
