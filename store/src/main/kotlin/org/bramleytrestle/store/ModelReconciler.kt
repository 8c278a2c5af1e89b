package org.bramleytrestle.store

/** Compares the desired with the actual state of one model and chooses the next order. */
internal object ModelReconciler {
    data class Step(val engine: EngineState, val placement: Placement)

    /** The next order, or null if nothing is missing or no engine can be spared. */
    fun next(desired: DesiredModel, engines: List<EngineState>): Step? {
        val wanted = desired.ranges.map { Placement(desired.version, it) }
        val ready = engines.mapNotNull { it.held }.groupingBy { it }.eachCount()
        val coming = engines.mapNotNull { it.target }.groupingBy { it }.eachCount()
        fun count(placement: Placement) = (ready[placement] ?: 0) + (coming[placement] ?: 0)
        val missing = wanted.filter { count(it) < desired.replicas }.minByOrNull { count(it) }
            ?: return null
        val complete = wanted.all { (ready[it] ?: 0) > 0 }

        fun spare(engine: EngineState): Boolean {
            val held = engine.held ?: return true
            val others = (ready[held] ?: 0) - 1
            return when {
                // Requests use the wanted version, so one complete chain of it replaces all others.
                held !in wanted -> complete || others > 0
                else -> count(held) - 1 >= maxOf(1, count(missing) + 1) && others > 0
            }
        }
        return engines.filter { it.usable && it.target == null && it.held != missing }
            .filter(::spare)
            .minWithOrNull(
                compareBy(
                    { if (it.held == null) 0 else 1 },
                    { if (it.held !in wanted) 0 else 1 },
                    { if (it.layers == missing.layers) 0 else 1 },
                    { it.instance.id.value }
                )
            )
            ?.let { Step(it, missing) }
    }
}
