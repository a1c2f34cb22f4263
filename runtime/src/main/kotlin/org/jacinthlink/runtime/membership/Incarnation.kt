package org.jacinthlink.runtime.membership

import org.jacinthlink.api.InstanceId

/** Separates the name in the settings from the random part that is new with each start. */
internal const val INCARNATION_SEPARATOR = '~'

/**
 * True if [actual] is the process that the platform lists as [listed].
 *
 * A platform that lists instances by name does not know the random part of their ids.
 */
internal fun isListedAs(listed: InstanceId, actual: InstanceId): Boolean =
    actual == listed ||
        actual.value.substringBeforeLast(INCARNATION_SEPARATOR) == listed.value
