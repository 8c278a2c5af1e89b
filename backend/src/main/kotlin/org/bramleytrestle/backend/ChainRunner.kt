package org.bramleytrestle.backend

import kotlinx.coroutines.flow.Flow

/**
 * Runs one attempt on a chain of engines. Cancelling the collection cancels the request on the
 * engines. Backend failures do not throw; the flow ends with [StreamEvent.Failed] instead.
 */
public fun interface ChainRunner {
    public fun run(work: ChainWork): Flow<StreamEvent>
}
