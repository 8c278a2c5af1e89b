package org.bramleytrestle.cluster

import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.CoroutineScope
import org.bramleytrestle.model.InstanceId

/** Factory for [Cluster]. */
public object Clusters {
    /** Default bandwidth limit of a node for sending load reports, in bytes per second. */
    public const val REPORT_BYTES_PER_SECOND: Int = 5 * 1024

    /**
     * Creates a member that communicates with its peers over TCP.
     *
     * @param scope runs the protocol; [listener] is called from one coroutine at a time.
     * @param startMillis wall-clock start time of this process; orders successive processes with
     *   the same id.
     * @param wantsReport whether a member needs the load reports of a server; in a large deployment
     *   a node uses only a subset of the servers.
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
