package org.bramleytrestle.serving

import kotlin.test.Test
import kotlin.test.assertEquals

class RoutingConfigTest {
    private val config = RoutingConfig(
        version = 1,
        revision = 1,
        routes = listOf("/", "/a/", "/a/b/").map { prefix ->
            route(RequestKind.IDEMPOTENT).copy(name = prefix, host = "One", pathPrefix = prefix)
        },
        services = emptyList(),
        organisations = listOf(Organisation("lab", setOf("k1", "k2")))
    )

    @Test
    fun `the longest prefix of the path wins, so that a nested route is not hidden`() {
        val cases = mapOf("/a/b/c" to "/a/b/", "/a/bc" to "/a/", "/x" to "/", "/a" to "/")
        for ((path, expected) in cases) {
            assertEquals(
                expected,
                config.route("one", path)?.name,
                path
            )
        }
        assertEquals(null, config.route("two", "/a/"))
    }

    @Test
    fun `each key belongs to its organisation and unknown ones to none`() {
        val cases = mapOf("k1" to "lab", "k2" to "lab", "k3" to null, "" to null)
        for ((key, owner) in cases) assertEquals(owner, config.organisationOf(key)?.name, key)
    }
}
