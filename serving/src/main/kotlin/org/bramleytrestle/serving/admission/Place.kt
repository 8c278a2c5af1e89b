package org.bramleytrestle.serving.admission

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * One piece of work in an [AdmissionLine].
 *
 * @param tryStart takes room for the work; false if there is none that it may use now. Called with
 * the line locked.
 */
public class Place(public val claim: Claim, internal val tryStart: () -> Boolean) {
    private val ended = CountDownLatch(1)

    /** Position among the work of its level, and the order of arrival; set by [StartOrder]. */
    internal var tag = 0.0
    internal var sequence = 0L
    internal var late = false
    internal var joinedNanos = 0L

    @Volatile
    public var state: PlaceState = PlaceState.WAITING
        private set

    internal fun end(state: PlaceState) {
        this.state = state
        ended.countDown()
    }

    /** Blocks until the work no longer waits, at most for [timeout]. */
    public fun await(timeout: Duration) {
        ended.await(timeout.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }
}
