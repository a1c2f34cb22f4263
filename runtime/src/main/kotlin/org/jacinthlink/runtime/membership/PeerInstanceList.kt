package org.jacinthlink.runtime.membership

import kotlinx.serialization.Serializable
import org.jacinthlink.api.ListedInstance

/**
 * Answer to `GET /v1/instances`: the list as one process knows it.
 *
 * @property ageMs Time since the list was read from the platform; null if it never was.
 */
@Serializable
internal data class PeerInstanceList(val ageMs: Long?, val instances: List<ListedInstance>)
