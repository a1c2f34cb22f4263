package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Identifies a request of a caller across all its attempts. */
@JvmInline
@Serializable
value class RequestId(val value: String)
