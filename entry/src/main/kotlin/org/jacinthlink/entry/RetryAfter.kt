package org.jacinthlink.entry

import org.http4k.core.Response

/** Adds a Retry-After header in whole seconds, if [retryAfterMs] is positive. */
internal fun Response.withRetryAfter(retryAfterMs: Long): Response =
    if (retryAfterMs > 0) header("Retry-After", "${(retryAfterMs + 999) / 1_000}") else this
