package org.bramleytrestle.standins.engine

/**
 * Deterministic model that all stand-in engines share. Each layer keeps its own state and mixes it
 * with its input, so the answer depends on prompt, model and version but not on how the layers are
 * split across engines. A layer that is skipped or executed twice changes every later token.
 */
public object ReferenceModel {
    /** End-of-sequence token; it is not part of the answer. */
    public const val END_TOKEN: Int = 0

    private const val BEGIN_TOKEN = 1
    private const val FIRST_WORD_ID = 2
    private const val VOCABULARY_SIZE = 50_000

    /** Each token ends the answer with probability 1 / [END_PERIOD], so that lengths vary. */
    private const val END_PERIOD = 96L
    private const val HASH_FACTOR = 31
    private const val GOLDEN_GAMMA = -7046029254386353131L
    private const val MIX_1 = -4658895280553007687L
    private const val MIX_2 = -7723592293110705685L
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val ID_SHIFT = 8

    /** Returns a begin token, so that the list is never empty, and one token id for each word. */
    public fun tokenize(prompt: String): List<Int> = listOf(BEGIN_TOKEN) +
        prompt.split(' ', '\n', '\t', '\r').filter { it.isNotEmpty() }.map(::wordId)

    /** Returns the answer that engines must generate, without [END_TOKEN]. */
    public fun answer(
        prompt: String,
        model: String,
        version: String,
        layers: Int,
        maxTokens: Int
    ): List<Token> {
        val states = LongArray(layers) { initialState(model, version, it) }
        var position = 0
        var last = 0L
        fun process(id: Int) {
            last = embed(id, position++)
            for (layer in 0..<layers) {
                states[layer] = nextState(states[layer], last)
                last = output(states[layer], last)
            }
        }
        tokenize(prompt).forEach(::process)
        val answer = mutableListOf<Token>()
        while (answer.size < maxTokens) {
            val token = sample(last)
            if (token.id == END_TOKEN) break
            answer += token
            process(token.id)
        }
        return answer
    }

    /** Returns `length` if [answer] reached [maxTokens], otherwise `stop`. */
    public fun finishReason(tokens: Int, maxTokens: Int): String =
        if (tokens >= maxTokens) "length" else "stop"

    internal fun embed(id: Int, position: Int): Long = mix(id.toLong() * GOLDEN_GAMMA + position)

    internal fun initialState(model: String, version: String, layer: Int): Long =
        mix(hash("$model/$version") * GOLDEN_GAMMA + layer)

    internal fun nextState(state: Long, input: Long): Long = mix(state * HASH_FACTOR + input)

    internal fun output(state: Long, input: Long): Long = mix(state xor input.rotateLeft(SHIFT_1))

    internal fun sample(output: Long): Token {
        if (java.lang.Long.remainderUnsigned(mix(output), END_PERIOD) == 0L) {
            return Token(END_TOKEN, "")
        }
        val words = VOCABULARY_SIZE - FIRST_WORD_ID
        val id = FIRST_WORD_ID + ((output ushr ID_SHIFT) % words).toInt()
        return Token(id, "w$id ")
    }

    /** One step of SplitMix64 from state [value]. */
    internal fun mix(value: Long): Long {
        var mixed = value + GOLDEN_GAMMA
        mixed = (mixed xor (mixed ushr SHIFT_1)) * MIX_1
        mixed = (mixed xor (mixed ushr SHIFT_2)) * MIX_2
        return mixed xor (mixed ushr SHIFT_3)
    }

    internal fun hash(text: String): Long =
        text.fold(0L) { hash, char -> mix(hash * HASH_FACTOR + char.code) }

    private fun wordId(word: String): Int = FIRST_WORD_ID + java.lang.Long.remainderUnsigned(
        hash(word),
        (VOCABULARY_SIZE - FIRST_WORD_ID).toLong()
    ).toInt()
}
