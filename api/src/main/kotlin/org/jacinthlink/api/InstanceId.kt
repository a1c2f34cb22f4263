package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Identifies one process of the system. A restarted process has a new id. */
@JvmInline
@Serializable
value class InstanceId(val value: String)
