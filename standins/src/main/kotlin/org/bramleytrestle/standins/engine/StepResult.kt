package org.bramleytrestle.standins.engine

/** Outcome of a step at this engine. */
internal sealed interface StepResult {
    class Ran(val answer: StepAnswer) : StepResult

    /** Refused; nothing ran. */
    class Refused(val status: Int, val error: String) : StepResult
}
