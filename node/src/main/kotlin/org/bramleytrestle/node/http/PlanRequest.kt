package org.bramleytrestle.node.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** Body of `POST /admin/plan`: a patch whose effects are reported without applying it. */
@Serializable
internal data class PlanRequest(val patch: JsonObject)
