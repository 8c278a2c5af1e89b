package org.bramleytrestle.settings

import kotlinx.serialization.Serializable

/**
 * An effective value that a change alters.
 *
 * @property scope `fleet`, `organisation` or `organisation/service`; for a change to the models or
 *   pools, the section `models` or `pools`.
 */
@Serializable
public data class SettingsDifference(
    val scope: String,
    val key: String,
    val before: String?,
    val after: String?
)
