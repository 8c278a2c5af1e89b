package org.bramleytrestle.serving

/**
 * Identifies the parts that a prompt consists of, in order.
 *
 * @property shared ids of the parts that other prompts may begin with too.
 * @property own id of the last part, which belongs to the request or its session.
 */
public data class Prompt(val shared: List<String>, val own: String) {
    /** The parts as a log line shows them. */
    public val summary: String get() = "${summarise(shared)} $own"
}
