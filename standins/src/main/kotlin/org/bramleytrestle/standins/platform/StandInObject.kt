package org.bramleytrestle.standins.platform

import kotlinx.serialization.json.JsonElement

/** One object as the stand-in stores it. */
public data class StandInObject(val name: String, val version: Long, val value: JsonElement)
