package org.bramleytrestle.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Times of the membership protocol. With the defaults a death is known in its data centre after
 * about 2 s: half a heartbeat until a probe, one heartbeat until suspicion, one second of suspicion.
 *
 * @property heartbeat time between two probes by one member.
 * @property probeTimeout wait for a direct answer before others are asked to probe.
 * @property suspicion time in which a suspected member may refute before it counts as dead.
 * @property antiEntropy time between two comparisons of member tables with a random member.
 * @property seedRetry time between two attempts to reach seeds and dead members.
 * @property dataCentreSuspect age of the last sign of a data centre at which its members are
 *   suspect.
 * @property dataCentreDead age of the last sign of a data centre at which its members are dead.
 * @property deadRetention time for which a dead member stays in the table.
 * @property connectionIdle time without use after which a connection is closed.
 */
public data class ClusterIntervals(
    val heartbeat: Duration = 500.milliseconds,
    val probeTimeout: Duration = 200.milliseconds,
    val suspicion: Duration = 1.seconds,
    val antiEntropy: Duration = 10.seconds,
    val seedRetry: Duration = 5.seconds,
    val dataCentreSuspect: Duration = 6.seconds,
    val dataCentreDead: Duration = 12.seconds,
    val deadRetention: Duration = 10.minutes,
    val connectionIdle: Duration = 30.seconds
)
