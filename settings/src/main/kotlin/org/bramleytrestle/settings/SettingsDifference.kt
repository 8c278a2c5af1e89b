package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/**
 * An effective value that a change alters.
 *
 * @property scope `fleet`, `org` or `org/service`; for topology the section, `models` or `pools`.
 */
@Serializable
public data class SettingsDifference(
    val scope: String,
    val key: String,
    val before: String?,
    val after: String?
)
