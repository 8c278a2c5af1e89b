package org.bramleytrestle.backend

/** Action that an engine can be ordered to perform. */
public enum class OrderAction(public val wireName: String) {
    LOAD_MODEL("loadModel"),
    LOAD_ADAPTER("loadAdapter"),
    SWITCH_VERSION("switchVersion"),
    CHANGE_ROLE("changeRole")
}
