package org.bramleytrestle.serving

import org.bramleytrestle.model.LayerRange

/** Sends placement orders to model servers. */
public interface PlacementOrders {
    /** Orders [server] to hold [layers] if it has begun exactly [expectedOrders] orders so far. */
    public fun place(
        server: BackendServer,
        layers: LayerRange,
        expectedOrders: Long?
    ): PlacementOutcome

    /** Number of orders that [server] has begun since its start; null if it does not answer. */
    public fun ordersBegun(server: BackendServer): Long?
}
