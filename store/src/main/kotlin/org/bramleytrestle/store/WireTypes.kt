@file:Suppress("MatchingDeclarationName")

package org.bramleytrestle.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** JSON documents of the object API. Only [HttpObjectStore] uses the types in this file. */
@Serializable
internal data class WireObject(val metadata: WireMetadata, val spec: JsonElement) {
    fun toStored(kind: String) =
        StoredObject(kind, checkNotNull(metadata.name), metadata.resourceVersion.toLong(), spec)
}

@Serializable
internal data class WireMetadata(val name: String? = null, val resourceVersion: String = "0")

@Serializable
internal data class WireList(val metadata: WireMetadata, val items: List<WireObject>)

@Serializable
internal data class WireEvent(val type: String, @SerialName("object") val item: WireObject)

@Serializable
internal data class WireStatus(val reason: String? = null)
