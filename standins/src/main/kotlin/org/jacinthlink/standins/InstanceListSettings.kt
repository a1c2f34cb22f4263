package org.jacinthlink.standins

import kotlinx.serialization.Serializable
import org.jacinthlink.api.ListedInstance

/**
 * Settings of the instance-list stand-in.
 *
 * @property lagMs Age of the list that readers see.
 * @property entityTags True to send an entity tag and to answer conditional reads.
 */
@Serializable
data class InstanceListSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val instances: List<ListedInstance> = emptyList(),
    val lagMs: Long = 0,
    val outage: Outage = Outage.NONE,
    val entityTags: Boolean = true
)
