package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/** One effective value that a change alters at one scope; scopes are `fleet` or `org/service`. */
@Serializable
public data class SettingsDifference(
    val scope: String,
    val key: String,
    val before: String?,
    val after: String?
)
