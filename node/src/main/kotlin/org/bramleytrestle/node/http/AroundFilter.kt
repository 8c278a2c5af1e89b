package org.bramleytrestle.node.http

import jakarta.servlet.Filter
import jakarta.servlet.FilterChain
import jakarta.servlet.ServletRequest
import jakarta.servlet.ServletResponse

/** Wraps each exchange in [around] until its response has been written to the connection. */
internal class AroundFilter(private val around: (exchange: () -> Unit) -> Unit) : Filter {
    override fun doFilter(request: ServletRequest, response: ServletResponse, chain: FilterChain) {
        around {
            chain.doFilter(request, response)
            response.flushBuffer()
        }
    }
}
