package org.jacinthlink.standins

/**
 * The whole answer of a model to [promptTokens], computed without any engine.
 *
 * A pipeline of engine stand-ins gives the same tokens, however its layers are split and whichever
 * stages were replaced meanwhile.
 */
fun referenceAnswer(
    model: String,
    layerCount: Int,
    promptTokens: List<String>,
    tokenCount: Int
): List<String> {
    val run = layerRun(model, layerCount)
    var last = promptTokens.map(run).lastOrNull() ?: return emptyList()
    return List(tokenCount) { sampleToken(last).also { last = run(it) } }
}

/** Output of the first [layerCount] layers of a model at the last one of [tokens]. */
fun referenceActivation(model: String, layerCount: Int, tokens: List<String>): String =
    tokens.map(layerRun(model, layerCount)).last()

// Runs the first layers of a model over one token of a stream after the other.
private fun layerRun(model: String, layerCount: Int): (String) -> String {
    val previous = arrayOfNulls<String>(layerCount)
    return { token ->
        (0 until layerCount).fold(token) { input, layer ->
            layerOutput(model, layer, input, previous[layer]).also { previous[layer] = it }
        }
    }
}

/**
 * Output of [layer] for [input]. [previous] is the layer's output at the previous position, which
 * is all that the KV state of a stream holds.
 */
internal fun layerOutput(model: String, layer: Int, input: String, previous: String?): String {
    var hash = hashed(FNV_OFFSET, model)
    hash = hashed(hash, layer.toString())
    hash = hashed(hash, input)
    hash = hashed(hash, previous ?: "-")
    return java.lang.Long.toHexString(mixed(hash)).padStart(HEX_DIGITS, '0')
}

/** The token that the last layer's output stands for. It is never an end of sequence. */
internal fun sampleToken(output: String): String {
    val index = java.lang.Long.parseUnsignedLong(output, HEX_RADIX)
    return VOCABULARY[java.lang.Long.remainderUnsigned(index, VOCABULARY.size.toLong()).toInt()]
}

// FNV-1a with a separator after each part, and the finalizer of MurmurHash3 over the result.
private fun hashed(start: Long, text: String): Long {
    var hash = start
    for (char in text) hash = (hash xor char.code.toLong()) * FNV_PRIME
    return (hash xor SEPARATOR) * FNV_PRIME
}

private fun mixed(hash: Long): Long {
    var mixed = hash
    mixed = (mixed xor (mixed ushr 33)) * -0xae502812aa7333L
    mixed = (mixed xor (mixed ushr 33)) * -0x3b314601e57a13adL
    return mixed xor (mixed ushr 33)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val SEPARATOR = 0xffffL
private const val HEX_DIGITS = 16
private const val HEX_RADIX = 16

// A leading space lets a caller join tokens to a readable text.
private val VOCABULARY =
    (
        "lamp dynamo bracket hub spoke reflector battery charger cable switch lens mount strap " +
            "bulb fuse socket beam helmet pedal chain marble slab block vein polish quarry edge " +
            "plinth column tile statue lot bid reserve hammer deposit release paddle sale note " +
            "quote order stock price delivery carton weight label shelf"
        ).split(" ").map { " $it" }
