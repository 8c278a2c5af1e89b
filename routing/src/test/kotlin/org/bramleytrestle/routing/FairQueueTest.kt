package org.bramleytrestle.routing

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.test.runTest
import org.bramleytrestle.model.Side
import org.bramleytrestle.settings.EffectiveSettings

class FairQueueTest {
    private val clock = TestTimeSource()
    private var sequence = 0L

    private fun entry(organisation: String, tokens: Int, weight: Double, deadline: Int = 1000) =
        QueuedWork(
            work(clock, Arrival(0.milliseconds, tokens, organisation)).copy(
                deadline = clock.markNow() + deadline.milliseconds
            ),
            EffectiveSettings(weight = weight),
            Side.NEW,
            LengthEstimate(tokens, WorkClass.SHORT, tokens),
            LengthEstimator(),
            sequence++,
            clock.markNow()
        )

    /** Guards against an organisation that exceeds its share by sending more or longer work. */
    @Test
    fun `backlogged organisations get tokens in proportion to their weights`() = runTest {
        checkAll(PropTestConfig(seed = 7, iterations = 100), Arb.int()) { seed ->
            val random = Random(seed)
            val weights = List(4) { "o$it" to random.nextInt(1, 9) / 2.0 }.toMap()
            val maxTokens = 500
            val queue = FairQueue()
            fun refill(organisation: String) = queue.add(
                entry(
                    organisation,
                    random.nextInt(1, maxTokens + 1),
                    weights.getValue(organisation)
                )
            )
            weights.keys.forEach { name -> repeat(random.nextInt(1, 30)) { refill(name) } }
            val served = HashMap<String, Double>()
            repeat(2000) {
                val next = queue.peek(WorkClass.SHORT)!!
                val name = next.work.organisation.value
                queue.remove(next)
                queue.charge(next)
                // The actual count differs from the estimate and must be the one that is charged.
                val actual = random.nextInt(1, maxTokens + 1)
                queue.adjustCharge(next, actual)
                served.merge(name, actual / weights.getValue(name), Double::plus)
                refill(name)
            }
            for (a in weights.keys) {
                for (b in weights.keys) {
                    val bound =
                        2 * (maxTokens / weights.getValue(a) + maxTokens / weights.getValue(b))
                    val gap = abs(served.getValue(a) - served.getValue(b))
                    assertTrue(gap <= bound, "$seed: gap $gap of $a and $b, at most $bound")
                }
            }
        }
    }

    /** Guards against urgent work that waits behind work with a later deadline. */
    @Test
    fun `the earliest deadline goes first inside an organisation`() {
        val queue = FairQueue()
        listOf(900, 300, 600).forEach { queue.add(entry("a", 10, 1.0, it)) }
        val order = List(3) {
            queue.peek(WorkClass.SHORT)!!.also(queue::remove).work.deadline - clock.markNow()
        }
        assertEquals(listOf(300, 600, 900), order.map { it.inWholeMilliseconds.toInt() })
        assertEquals(0, queue.size)
    }
}
