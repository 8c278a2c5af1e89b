package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/** The layers that one server runs for a request. */
public data class Stage(val server: BackendServer, val layers: LayerRange)
