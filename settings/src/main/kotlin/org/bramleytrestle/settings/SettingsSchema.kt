package org.bramleytrestle.settings

private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
private const val NAME_EXPECTED =
    "1 to 63 letters, digits, dots, dashes or underscores, a letter or digit first"
private val OPERATION = Regex("(GET|HEAD|POST|PUT|PATCH|DELETE) /\\S*")
private const val OPERATION_EXPECTED = "a method and a path, such as 'POST /bookings'"
private const val DAY_MILLIS = 86_400_000L

private val share = decimal("a number from 0 to 1") { it in 0.0..1.0 }
private val positive = decimal("a number above 0") { it > 0 && it.isFinite() }
private val name = matching(NAME, NAME_EXPECTED)

private val overrides = fields(
    required = emptySet(),
    known = mapOf(
        "newShare" to share,
        "weight" to positive,
        "tokensPerSecond" to positive,
        "deadlineMillis" to whole(1..DAY_MILLIS),
        "maxTokens" to whole(1L..1_000_000L),
        "shortTokens" to whole(0L..1_000_000L),
        "shortReserve" to share,
        "maxAttempts" to whole(1L..20L),
        "retryBudget" to share,
        "homeNodes" to whole(1L..1_000L),
        "operations" to
            mapOf(OPERATION, OPERATION_EXPECTED, oneOf("never", "deduplicated", "repeatable")),
        "models" to listOf(name)
    )
)

private val model = fields(
    required = setOf("layers"),
    known = mapOf("layers" to whole(1L..10_000L), "version" to name)
)

private val pool = fields(
    required = setOf("kind", "side"),
    known = mapOf(
        "kind" to oneOf("engine", "service"),
        "side" to oneOf("old", "new"),
        "model" to name,
        "service" to name,
        "checksFencing" to flag()
    )
)

private val service = fields(emptySet(), mapOf("overrides" to overrides))

private val organisation = fields(
    required = emptySet(),
    known = mapOf(
        "overrides" to overrides,
        "services" to mapOf(NAME, NAME_EXPECTED, service)
    )
)

/** Keys, types and ranges of the whole settings document. */
internal val settingsSchema: Checker = fields(
    required = emptySet(),
    known = mapOf(
        "models" to mapOf(NAME, NAME_EXPECTED, model),
        "pools" to mapOf(NAME, NAME_EXPECTED, pool),
        "defaults" to overrides,
        "organisations" to mapOf(NAME, NAME_EXPECTED, organisation)
    )
)
