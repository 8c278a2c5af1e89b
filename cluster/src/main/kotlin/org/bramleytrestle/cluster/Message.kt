@file:OptIn(ExperimentalSerializationApi::class)

package org.bramleytrestle.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborArray

/** Header of every message between members, so that each message also repairs missed updates. */
@Serializable
@CborArray
internal class Exchange(
    val from: String,
    val revision: Long,
    val updates: List<MemberUpdate> = emptyList(),
    val dataCentres: List<DataCentreStatus> = emptyList()
)

/** State of a member. The place is omitted if the receiver is expected to know it. */
@Serializable
@CborArray
internal data class MemberUpdate(
    val id: String,
    val incarnation: Long,
    val state: Int,
    val place: MemberPlace? = null
)

/** The part of a member's entry that does not change while its process runs. */
@Serializable
@CborArray
internal data class MemberPlace(
    val dataCentre: String,
    val peerAddress: String,
    val callerAddress: String
)

/**
 * Heartbeat of a data centre.
 *
 * @property counter incremented by its delegates at every heartbeat.
 * @property floor lowest revision that its live members have applied.
 */
@Serializable
@CborArray
internal data class DataCentreStatus(val name: String, val counter: Long, val floor: Long)

/** A message between members. */
internal sealed interface Message {
    val exchange: Exchange
}

@Serializable
@CborArray
internal class Ping(override val exchange: Exchange, val sequence: Int) : Message

@Serializable
@CborArray
internal class Ack(override val exchange: Exchange, val sequence: Int) : Message

/** Asks the receiver to probe [target] and to relay its acknowledgement. */
@Serializable
@CborArray
internal class PingRequest(override val exchange: Exchange, val sequence: Int, val target: String) :
    Message

/** Member updates sent immediately instead of with the next probe. */
@Serializable
@CborArray
internal class Updates(override val exchange: Exchange) : Message

/** Hashes of the sender's member table by data centre; starts a comparison of tables. */
@Serializable
@CborArray
internal class TableDigests(override val exchange: Exchange, val digests: List<TableDigest>) :
    Message

@Serializable
@CborArray
internal class TableDigest(val dataCentre: String, val hash: Long)

/** Entries of data centres whose hashes differ; [wanted] names those to send back in return. */
@Serializable
@CborArray
internal class TableEntries(override val exchange: Exchange, val wanted: List<String>) : Message

@Serializable
@CborArray
internal class ChangePush(override val exchange: Exchange, val changes: List<WireChange>) : Message

@Serializable
@CborArray
internal class WireChange(
    val revision: Long,
    val changeId: String,
    val author: String,
    val reason: String,
    val timeMillis: Long,
    val patch: String
)

@Serializable
@CborArray
internal class ChangeRequest(override val exchange: Exchange) : Message

@Serializable
@CborArray
internal class StateRequest(override val exchange: Exchange) : Message

/** One of [parts] parts of the compressed settings tree at [revision]. */
@Serializable
@CborArray
internal class StateTransfer(
    override val exchange: Exchange,
    val revision: Long,
    val part: Int,
    val parts: Int,
    @ByteString val bytes: ByteArray
) : Message

@Serializable
@CborArray
internal class Reports(
    override val exchange: Exchange,
    val baseMillis: Long,
    val reports: List<WireReport>
) : Message

/** A load report; [fixed] is omitted if the receiver is expected to know it. */
@Serializable
@CborArray
internal class WireReport(
    val instance: String,
    val sequence: Long,
    val ageMillis: Long,
    val running: Int,
    val waiting: Int,
    val microsPerLayer: Long,
    val queueMicros: Long,
    val leaving: Boolean,
    val fixed: WireReportFixed? = null
)

/** Fields of a load report that rarely change. */
@Serializable
@CborArray
internal data class WireReportFixed(
    val model: String?,
    val version: String?,
    val layersFrom: Int?,
    val layersUntil: Int?,
    val accelerator: String?,
    val slots: Int
)

/** A question of the application to one member; [sequence] pairs it with its [Answer]. */
@Serializable
@CborArray
internal class Ask(
    override val exchange: Exchange,
    val sequence: Int,
    @ByteString val body: ByteArray
) : Message

@Serializable
@CborArray
internal class Answer(
    override val exchange: Exchange,
    val sequence: Int,
    @ByteString val body: ByteArray
) : Message

@Serializable
@CborArray
internal class Demand(override val exchange: Exchange, val demand: List<LimitDemand>) : Message

@Serializable
@CborArray
internal class Grant(override val exchange: Exchange, val grants: List<LimitGrant>) : Message
