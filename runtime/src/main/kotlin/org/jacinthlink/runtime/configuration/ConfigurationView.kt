package org.jacinthlink.runtime.configuration

import org.jacinthlink.api.Configuration

/** The configuration in force on this process. */
interface ConfigurationView {
    /** Latest document known. Its revision never falls. */
    val current: Configuration

    /** Calls [listener] after each newer document. */
    fun addListener(listener: (Configuration) -> Unit)
}
