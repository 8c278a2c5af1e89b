package org.bramleytrestle.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation

class ConcurrencyLimiterTest {
    private val options = ModelCheckingOptions()
        .threads(2).actorsPerThread(3).iterations(10).invocationsPerIteration(300)

    /** Guards against slots that concurrent threads lose or acquire twice. */
    @Test
    fun `slot operations are linearizable`() = options.check(Slots::class)

    /** Guards against lost updates of the limit when several attempts end concurrently. */
    @Test
    fun `limit operations are linearizable`() = options.check(Limits::class)

    class Slots {
        private val limiter = ConcurrencyLimiter(3).apply {
            repeat(2) { tryAcquire(WorkClass.SHORT, 0.0) }
        }

        @Operation
        fun acquireShort() = limiter.tryAcquire(WorkClass.SHORT, 0.34)

        @Operation
        fun acquireLong() = limiter.tryAcquire(WorkClass.LONG, 0.34)

        @Operation(runOnce = true)
        fun release() = limiter.release(WorkClass.SHORT)

        @Operation(runOnce = true)
        fun demote() = limiter.demote()

        @Operation
        fun inFlight() = limiter.inFlight
    }

    class Limits {
        private val limiter = ConcurrencyLimiter(8)

        @Operation
        fun refused() = limiter.onOverloaded()

        @Operation
        fun succeeded() = limiter.onSuccess(1.0)

        @Operation
        fun updateMaxLimit() = limiter.updateMaxLimit(6)

        @Operation
        fun limit() = limiter.limit
    }

    /** Guards against a limit of zero, which blocks a server for good, or above its maximum. */
    @Test
    fun `the limit stays between one and the maximum whatever the samples are`() = runTest {
        val arb = Arb.list(Arb.int(-1..50), 0..300)
        checkAll(PropTestConfig(seed = 11, iterations = 200), arb) { samples ->
            val limiter = ConcurrencyLimiter(16)
            for (sample in samples) {
                if (sample < 0) limiter.onOverloaded() else limiter.onSuccess(sample / 10.0)
                assertTrue(limiter.limit in 1..16)
            }
        }
    }

    /** Steps slow down above 10 attempts; a limit that ignores this only adds queueing. */
    @Test
    fun `the limit falls on slow steps and grows again when they are fast`() {
        val limiter = ConcurrencyLimiter(40)
        while (limiter.tryAcquire(WorkClass.SHORT, 0.0)) Unit
        repeat(100) { limiter.onSuccess(1.0) }
        repeat(2000) { limiter.onSuccess(if (limiter.limit > 10) limiter.limit / 4.0 else 1.0) }
        assertTrue(limiter.limit in 6..12, "limit ${limiter.limit}")
        repeat(2000) { limiter.onSuccess(1.0) }
        assertEquals(40, limiter.limit)
    }

    /** Guards against a limit that falls with every refusal, to 1 after a single burst. */
    @Test
    fun `refusals of one burst lower the limit once`() {
        val limiter = ConcurrencyLimiter(20)
        repeat(16) { limiter.onOverloaded() }
        assertEquals(16, limiter.limit)
    }

    /** Guards against long work that occupies the slots reserved for short work. */
    @Test
    fun `long work leaves the reserve free and a demoted attempt counts as long`() {
        val limiter = ConcurrencyLimiter(8)
        val longAttempts = generateSequence {
            limiter.tryAcquire(WorkClass.LONG, 0.25)
        }.takeWhile { it }
        assertEquals(6, longAttempts.count())
        assertTrue(limiter.tryAcquire(WorkClass.SHORT, 0.25))
        limiter.demote()
        limiter.release(WorkClass.LONG)
        assertEquals(false, limiter.hasCapacity(WorkClass.LONG, 0.25))
        assertEquals(6, limiter.inFlight)
    }
}
