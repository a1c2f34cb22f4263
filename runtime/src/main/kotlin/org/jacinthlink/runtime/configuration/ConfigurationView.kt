package org.jacinthlink.runtime.configuration

import org.jacinthlink.api.Configuration

/** The configuration in force on this process. */
interface ConfigurationView {
    /** Latest document known. Its revision never falls. */
    val current: Configuration

    /** True once the document, or that there is none yet, was read from any source. */
    val isKnown: Boolean get() = true

    /** Calls [listener] after each newer document. */
    fun addListener(listener: (Configuration) -> Unit)
}
