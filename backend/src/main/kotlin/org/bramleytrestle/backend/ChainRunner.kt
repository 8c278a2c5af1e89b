package org.bramleytrestle.backend

import kotlinx.coroutines.flow.Flow

/**
 * Runs one attempt over a chain of engines. Cancelling the collection cancels the engines' work.
 * The flow never throws for a backend fault: it ends with a [StreamEvent.Failed].
 */
public fun interface ChainRunner {
    public fun run(work: ChainWork): Flow<StreamEvent>
}
