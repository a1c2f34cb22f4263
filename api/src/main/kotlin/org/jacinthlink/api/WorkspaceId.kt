package org.jacinthlink.api

import kotlinx.serialization.Serializable

/** Identifies a customer whose requests share one fair-share account. */
@JvmInline
@Serializable
value class WorkspaceId(val value: String)
