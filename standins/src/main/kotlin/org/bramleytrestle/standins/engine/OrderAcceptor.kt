package org.bramleytrestle.standins.engine

/**
 * Accepts orders unless their fencing number is stale; a repeated order is accepted but not counted
 * again. With fencing checks off, stale orders are accepted and counted.
 */
internal class OrderAcceptor(private val checksFencing: Boolean) {
    private val acceptedIds = HashSet<String>()
    private var highestNumber = 0L

    @get:Synchronized
    var accepted = 0L
        private set

    @get:Synchronized
    var staleAccepted = 0L
        private set

    /** Returns the highest fencing number so far if [order] is refused as stale, else null. */
    @Synchronized
    fun accept(order: OrderMessage, ignoreFencing: Boolean): Long? {
        val stale = order.fencingNumber < highestNumber
        if (stale && checksFencing && !ignoreFencing) return highestNumber
        highestNumber = maxOf(highestNumber, order.fencingNumber)
        if (!acceptedIds.add(order.orderId)) return null
        accepted++
        if (stale) staleAccepted++
        return null
    }
}
