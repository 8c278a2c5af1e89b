package org.bramleytrestle.model

import kotlinx.serialization.Serializable

/** Identifies one request of a caller; every response of a backend server must carry it. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
