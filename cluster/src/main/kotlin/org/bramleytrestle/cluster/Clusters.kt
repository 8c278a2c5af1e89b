package org.bramleytrestle.cluster

import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.bramleytrestle.model.InstanceId

/** Makes [Cluster]s. */
public object Clusters {
    /** Bytes per second that load reports may take of a node's control traffic. */
    public const val REPORT_BYTES_PER_SECOND: Int = 5 * 1024

    /**
     * A member that talks to its peers over TCP.
     *
     * @param scope runs the protocol; the listener is called on one coroutine of it at a time.
     * @param startMillis wall-clock time of the start of this process; orders the runs of one id.
     * @param wantsReport whether a member needs the load reports of a server; at full scale a
     *   node uses only a subset of the servers.
     */
    public fun tcp(
        settings: ClusterSettings,
        listener: ClusterListener,
        scope: CoroutineScope,
        clock: TimeSource = TimeSource.Monotonic,
        startMillis: Long = System.currentTimeMillis(),
        random: Random = Random.Default,
        reportBytesPerSecond: Int = REPORT_BYTES_PER_SECOND,
        wantsReport: (member: InstanceId, server: InstanceId) -> Boolean = { _, _ -> true }
    ): Cluster = ClusterNode(
        settings,
        listener,
        TcpTransport(settings, clock),
        scope,
        clock,
        startMillis / MILLIS_PER_SECOND,
        random,
        reportBytesPerSecond,
        wantsReport
    )

    private const val MILLIS_PER_SECOND = 1_000
}
