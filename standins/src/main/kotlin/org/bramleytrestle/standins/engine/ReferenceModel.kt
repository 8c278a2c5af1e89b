package org.bramleytrestle.standins.engine

/**
 * The computation that all stand-in engines share. Every step is a fixed integer mix and each layer
 * keeps its own state, so an answer depends on prompt, model and version, not on how the layers are
 * split, and a layer that is skipped or run twice changes every later token.
 */
public object ReferenceModel {
    /** Ends an answer; it is not part of the answer. */
    public const val END_TOKEN: Int = 0

    private const val BEGIN_TOKEN = 1
    private const val FIRST_WORD = 2
    private const val VOCABULARY = 50_000

    /** An answer ends with probability 1 / [END_PERIOD] at each token, so that lengths vary. */
    private const val END_PERIOD = 96L
    private const val HASH_FACTOR = 31
    private const val GOLDEN = -7046029254386353131L
    private const val MIX_1 = -4658895280553007687L
    private const val MIX_2 = -7723592293110705685L
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31
    private const val ID_SHIFT = 8

    /** Ids of the prompt's words after a begin token, so that no prompt is empty. */
    public fun tokenize(prompt: String): List<Int> = listOf(BEGIN_TOKEN) +
        prompt.split(' ', '\n', '\t', '\r').filter { it.isNotEmpty() }.map(::wordId)

    /** The answer that engines must give, without the end token. */
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
        fun run(id: Int) {
            last = embed(id, position++)
            for (layer in 0..<layers) {
                states[layer] = nextState(states[layer], last)
                last = output(states[layer], last)
            }
        }
        tokenize(prompt).forEach(::run)
        val answer = mutableListOf<Token>()
        while (answer.size < maxTokens) {
            val token = sample(last)
            if (token.id == END_TOKEN) break
            answer += token
            run(token.id)
        }
        return answer
    }

    /** `length` if [answer] gives [maxTokens] tokens, else `stop`. */
    public fun finishReason(tokens: Int, maxTokens: Int): String =
        if (tokens >= maxTokens) "length" else "stop"

    internal fun embed(id: Int, position: Int): Long = mix(id.toLong() * GOLDEN + position)

    internal fun initialState(model: String, version: String, layer: Int): Long =
        mix(hash("$model/$version") * GOLDEN + layer)

    internal fun nextState(state: Long, input: Long): Long = mix(state * HASH_FACTOR + input)

    internal fun output(state: Long, input: Long): Long = mix(state xor input.rotateLeft(SHIFT_1))

    internal fun sample(output: Long): Token {
        if (java.lang.Long.remainderUnsigned(mix(output), END_PERIOD) == 0L) {
            return Token(END_TOKEN, "")
        }
        val id = FIRST_WORD + ((output ushr ID_SHIFT) % (VOCABULARY - FIRST_WORD)).toInt()
        return Token(id, "w$id ")
    }

    internal fun mix(value: Long): Long {
        var mixed = value + GOLDEN
        mixed = (mixed xor (mixed ushr SHIFT_1)) * MIX_1
        mixed = (mixed xor (mixed ushr SHIFT_2)) * MIX_2
        return mixed xor (mixed ushr SHIFT_3)
    }

    internal fun hash(text: String): Long =
        text.fold(0L) { hash, char -> mix(hash * HASH_FACTOR + char.code) }

    private fun wordId(word: String): Int = FIRST_WORD + java.lang.Long.remainderUnsigned(
        hash(word),
        (VOCABULARY - FIRST_WORD).toLong()
    ).toInt()
}
