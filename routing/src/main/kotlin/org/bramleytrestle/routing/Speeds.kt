package org.bramleytrestle.routing

import org.bramleytrestle.model.Instance
import org.bramleytrestle.model.LoadReport

/**
 * Speeds of servers, with the mean of their kind for servers that have not reported one. Without
 * it a new server looks infinitely fast and attracts all work.
 */
internal class Speeds(reports: () -> List<LoadReport>) {
    private val known by lazy { reports().filter { it.microsPerLayer > 0 } }
    private val byAccelerator by lazy {
        known.groupBy { it.accelerator }.mapValues { mean(it.value) }
    }
    private val overall by lazy { if (known.isEmpty()) 1.0 else mean(known) }

    fun microsPerLayer(instance: Instance, report: LoadReport?): Double = when {
        report != null && report.microsPerLayer > 0 -> report.microsPerLayer.toDouble()
        else -> byAccelerator[report?.accelerator ?: instance.accelerator] ?: overall
    }

    private fun mean(reports: List<LoadReport>) = reports.map { it.microsPerLayer }.average()
}
