package org.jacinthlink.decision.fleet

/**
 * Speed and memory of the model engines of a service.
 *
 * @property slots Number of requests that one engine accepts as the first server of a path.
 * @property layerCount Number of layers of the model.
 * @property layerMb Memory of the weights of one layer, in MB.
 * @property tokenBytes Memory of one token over all layers, in bytes.
 * @property activationBytes Bytes that pass from one part of a path to the next for a token.
 * @property loadS Time to load all layers into one engine, in seconds.
 * @property loadsAtOnce Number of loads that the weight store serves in parallel at full speed.
 * @property stepMs Time of one token step over all layers in ms, with an
 *   [Accelerator.stepTimeFactor] of 1.
 * @property stepsPerPass Token steps of one pass, which is also the number of tokens in an event.
 * @property prefillTokensPerS Prompt tokens that are processed per second over all layers with an
 *   [Accelerator.prefillTimeFactor] of 1.
 * @property usualPromptTokens Mean number of tokens of a prompt.
 * @property usualAnswerTokens Mean number of tokens of an answer.
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

    /** Tokens of a request of usual size at its end, or null if the size is unknown. */
    val usualTokens: Int? get() = (usualPromptTokens + usualAnswerTokens).takeIf { it > 0 }

    /** Tokens of the requests of usual size that one engine accepts as the first of a path. */
    val firstServerTokens: Double
        get() = usualTokens?.let { slots.toDouble() * it } ?: Double.POSITIVE_INFINITY

    private companion object {
        const val BYTES_PER_MB = 1_000_000.0
    }
}

/**
 * A kind of accelerator.
 *
 * @property stepTimeFactor Factor on the duration of token steps.
 * @property prefillTimeFactor Factor on the duration of prefill, which processes the prompts.
 */
data class Accelerator(
    val memoryMb: Double,
    val stepTimeFactor: Double,
    val prefillTimeFactor: Double
)
