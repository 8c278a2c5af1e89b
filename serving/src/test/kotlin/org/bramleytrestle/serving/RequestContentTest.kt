package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class RequestContentTest {
    private fun content(
        id: String = "r1",
        method: String = "POST",
        host: String = "h",
        target: String = "/a?x=1",
        body: String = "body",
        key: String? = "k",
        prompt: Prompt? = Prompt(listOf("f"), "o")
    ) = CallerRequest(
        id,
        method,
        host,
        target,
        emptyList(),
        body.toByteArray(),
        FakeClock().now(),
        key = key,
        prompt = prompt
    ).content

    /** Guards against repeats that are not recognised, and requests that count as others. */
    @Test
    fun `repeats of a request have the same content and other requests another one`() {
        val first = content()
        assertEquals(first, content(id = "r2"))
        assertEquals(listOf("f"), first.parts)
        val others = listOf(
            content(method = "PUT"),
            content(host = "g"),
            content(target = "/a?x=2"),
            content(body = "other"),
            content(key = "l"),
            content(key = null),
            content(prompt = null),
            content(prompt = Prompt(listOf("f"), "p")),
            content(prompt = Prompt(listOf("g"), "o")),
            content(prompt = Prompt(listOf("f", "o"), "")),
            content(target = "/a?x=1body", body = "")
        )
        for (other in others) assertNotEquals(first.id, other.id)
        assertEquals(others.size, others.map { it.id }.toSet().size)
    }
}
