package org.bramleytrestle.settings

private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
private const val NAME_EXPECTED =
    "1 to 63 letters, digits, dots, dashes or underscores, starting with a letter or digit"
private val OPERATION_PATTERN = Regex("(GET|HEAD|POST|PUT|PATCH|DELETE) /\\S*")
private const val OPERATION_EXPECTED = "a method and a path, such as 'POST /bookings'"
private const val DAY_MILLIS = 86_400_000L

private val fraction = decimal("a number from 0 to 1") { it in 0.0..1.0 }
private val positive = decimal("a number above 0") { it > 0 && it.isFinite() }
private val name = string(NAME_PATTERN, NAME_EXPECTED)

private val overrides = fields(
    required = emptySet(),
    known = mapOf(
        "newShare" to fraction,
        "weight" to positive,
        "tokensPerSecond" to positive,
        "deadlineMillis" to integer(1..DAY_MILLIS),
        "maxTokens" to integer(1L..1_000_000L),
        "shortTokens" to integer(0L..1_000_000L),
        "shortReserve" to fraction,
        "maxAttempts" to integer(1L..20L),
        "retryBudget" to fraction,
        "homeNodes" to integer(1L..1_000L),
        "operations" to
            map(
                OPERATION_PATTERN,
                OPERATION_EXPECTED,
                oneOf("never", "deduplicated", "repeatable")
            ),
        "models" to list(name)
    )
)

private val model = fields(
    required = setOf("layers"),
    known = mapOf("layers" to integer(1L..10_000L), "version" to name)
)

private val pool = fields(
    required = setOf("kind", "side"),
    known = mapOf(
        "kind" to oneOf("engine", "service"),
        "side" to oneOf("old", "new"),
        "model" to name,
        "service" to name,
        "checksFencing" to boolean()
    )
)

private val service = fields(emptySet(), mapOf("overrides" to overrides))

private val organisation = fields(
    required = emptySet(),
    known = mapOf(
        "overrides" to overrides,
        "services" to map(NAME_PATTERN, NAME_EXPECTED, service)
    )
)

/** Validates the keys, types and ranges of a settings document. */
internal val settingsSchema: Validator = fields(
    required = emptySet(),
    known = mapOf(
        "models" to map(NAME_PATTERN, NAME_EXPECTED, model),
        "pools" to map(NAME_PATTERN, NAME_EXPECTED, pool),
        "defaults" to overrides,
        "organisations" to map(NAME_PATTERN, NAME_EXPECTED, organisation)
    )
)
