package org.bramleytrestle.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Timing parameters of the membership protocol. With the defaults, the members of a data centre
 * detect a failure in it after about 2 s: half a heartbeat until a probe, one heartbeat until the
 * target is suspected and one second until the suspicion expires.
 *
 * @property heartbeat interval between two probes by one member.
 * @property probeTimeout time to wait for a direct acknowledgement before indirect probes.
 * @property suspicion time for which a suspected member may refute before it is declared dead.
 * @property antiEntropy mean interval between comparisons of member tables with a random member.
 * @property seedRetry mean interval between attempts to contact a seed and a dead member.
 * @property dataCentreSuspect time since the last known heartbeat of a data centre after which
 *   its members are suspect.
 * @property dataCentreDead time since the last known heartbeat of a data centre after which its
 *   members are dead.
 * @property deadRetention time for which a dead member remains in the table.
 * @property connectionIdle time after which an unused connection is closed.
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
