package org.bramleytrestle.standins.engine

/** Outcome of a step on this engine. */
internal sealed interface StepResult {
    class Executed(val response: StepResponse) : StepResult

    /** The step was refused and nothing was executed. */
    class Refused(val status: Int, val error: String) : StepResult
}
