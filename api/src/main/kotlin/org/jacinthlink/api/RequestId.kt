package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Identifies one request of a caller over all its attempts. */
@JvmInline
@Serializable
value class RequestId(val value: String)
