package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/** One stage of a [Chain]: the layers that [server] runs for a request. */
public data class Stage(val server: BackendServer, val layers: LayerRange)
