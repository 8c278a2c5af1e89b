package org.bramleytrestle.standins.engine

/** Accepts orders by fencing number; an engine that does not check counts the stale ones. */
internal class OrderBook(private val checks: Boolean) {
    private val seen = HashSet<String>()
    private var highest = 0L

    @get:Synchronized
    var accepted = 0L
        private set

    @get:Synchronized
    var staleAccepted = 0L
        private set

    /** The highest number seen if [order] is refused as stale, else null. */
    @Synchronized
    fun accept(order: OrderMessage, ignoreFencing: Boolean): Long? {
        val stale = order.fencingNumber < highest
        if (stale && checks && !ignoreFencing) return highest
        highest = maxOf(highest, order.fencingNumber)
        if (!seen.add(order.orderId)) return null
        accepted++
        if (stale) staleAccepted++
        return null
    }
}
