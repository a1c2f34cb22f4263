package org.jacinthlink.cli.experiment

/** A class of work and the size of its requests, in words of the prompt and generated tokens. */
internal data class Rank(val workClass: String, val promptTokens: Int, val maxTokens: Int) {
    /**
     * Positions that each stage runs for a request. The entry adds one token to the prompt, and the
     * last token is not run.
     */
    val positions: Int get() = promptTokens + maxTokens
}
