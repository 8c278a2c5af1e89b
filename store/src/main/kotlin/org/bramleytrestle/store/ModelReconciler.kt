package org.bramleytrestle.store

/** Compares the desired and the actual state of one model and selects the next order. */
internal object ModelReconciler {
    data class Assignment(val engine: EngineState, val placement: Placement)

    /** Returns the next order, or null if no replica is missing or no engine is available. */
    fun next(desired: DesiredModel, engines: List<EngineState>): Assignment? {
        val wanted = desired.ranges.map { Placement(desired.version, it) }
        val ready = engines.mapNotNull { it.held }.groupingBy { it }.eachCount()
        val loading = engines.mapNotNull { it.target }.groupingBy { it }.eachCount()
        fun count(placement: Placement) = (ready[placement] ?: 0) + (loading[placement] ?: 0)
        val missing = wanted.filter { count(it) < desired.replicas }.minByOrNull { count(it) }
            ?: return null
        val chainReady = wanted.all { (ready[it] ?: 0) > 0 }

        fun isAvailable(engine: EngineState): Boolean {
            val held = engine.held ?: return true
            val others = (ready[held] ?: 0) - 1
            return when {
                // Requests use the desired version, so other versions are not needed once one chain
                // of it is complete.
                held !in wanted -> chainReady || others > 0
                else -> count(held) - 1 >= maxOf(1, count(missing) + 1) && others > 0
            }
        }
        return engines.filter { it.usable && it.target == null && it.held != missing }
            .filter(::isAvailable)
            .minWithOrNull(
                compareBy(
                    { if (it.held == null) 0 else 1 },
                    { if (it.held !in wanted) 0 else 1 },
                    { if (it.layers == missing.layers) 0 else 1 },
                    { it.instance.id.value }
                )
            )
            ?.let { Assignment(it, missing) }
    }
}
