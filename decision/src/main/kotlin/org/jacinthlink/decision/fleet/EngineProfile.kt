package org.jacinthlink.decision.fleet

/**
 * Speed and memory of the model engines of a service.
 *
 * @property slots Requests that one engine takes as the first of a path.
 * @property layerCount Layers of the model.
 * @property layerMb Memory of one layer's weights.
 * @property tokenBytes Memory of one token over all layers.
 * @property activationBytes Bytes that pass from one part of a path to the next for a token.
 * @property loadS Time to load all layers into one engine.
 * @property loadsAtOnce Loads that the weight store serves side by side at full speed.
 * @property stepMs Time of one token step over all layers at pace 1.
 * @property stepsPerPass Token steps of one pass, which is also the number of tokens in an event.
 * @property prefillTokensPerS Prompt tokens read a second over all layers at factor 1.
 * @property usualPromptTokens Mean prompt.
 * @property usualAnswerTokens Mean answer.
 */
data class EngineProfile(
    val slots: Int,
    val layerCount: Int,
    val layerMb: Double,
    val tokenBytes: Double,
    val activationBytes: Double,
    val loadS: Double,
    val loadsAtOnce: Int,
    val stepMs: Double,
    val stepsPerPass: Int,
    val prefillTokensPerS: Double,
    val usualPromptTokens: Int,
    val usualAnswerTokens: Int,
    val accelerators: Map<String, Accelerator>
) {
    /** Memory of one token in one layer, in MB. */
    val tokenLayerMb: Double get() = tokenBytes / layerCount / BYTES_PER_MB

    /** Tokens of a request of usual size at its end, or null if that is not known. */
    val usualTokens: Int? get() = (usualPromptTokens + usualAnswerTokens).takeIf { it > 0 }

    /** Tokens of the requests of usual size that one engine takes as the first of a path. */
    val firstServerTokens: Double
        get() = usualTokens?.let { slots.toDouble() * it } ?: Double.POSITIVE_INFINITY

    private companion object {
        const val BYTES_PER_MB = 1_000_000.0
    }
}

/**
 * A kind of accelerator.
 *
 * @property slowdownFactor Factor on the time of token steps.
 * @property readFactor Factor on the time of reading prompts.
 */
data class Accelerator(val memoryMb: Double, val slowdownFactor: Double, val readFactor: Double)
