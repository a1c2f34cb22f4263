package org.jacinthlink.transport

import io.netty.util.internal.logging.AbstractInternalLogger
import io.netty.util.internal.logging.InternalLogger
import io.netty.util.internal.logging.InternalLoggerFactory

/**
 * Creates loggers that write to standard error what Netty reports as an error, and warnings whose
 * cause is an [Error], such as the one that ends an event loop. All other messages are dropped.
 */
internal object ErrorLoggerFactory : InternalLoggerFactory() {
    override fun newInstance(name: String): InternalLogger = ErrorLogger(name)
}

private class ErrorLogger(name: String) : AbstractInternalLogger(name) {
    override fun isErrorEnabled(): Boolean = true

    override fun error(message: String?) = write(message.orEmpty())

    override fun error(format: String, argument: Any?) = write("$format: $argument")

    override fun error(format: String, first: Any?, second: Any?) =
        write("$format: $first, $second")

    override fun error(format: String, vararg arguments: Any?) =
        write("$format: ${arguments.joinToString()}")

    override fun error(message: String?, cause: Throwable?) {
        if (cause is Error) return reportFailure(message.orEmpty(), cause)
        write("$message: $cause")
    }

    private fun write(text: String) = System.err.println("${name()}: $text")

    override fun isTraceEnabled(): Boolean = false

    override fun trace(message: String?) = Unit

    override fun trace(format: String, argument: Any?) = Unit

    override fun trace(format: String, first: Any?, second: Any?) = Unit

    override fun trace(format: String, vararg arguments: Any?) = Unit

    override fun trace(message: String?, cause: Throwable?) = Unit

    override fun isDebugEnabled(): Boolean = false

    override fun debug(message: String?) = Unit

    override fun debug(format: String, argument: Any?) = Unit

    override fun debug(format: String, first: Any?, second: Any?) = Unit

    override fun debug(format: String, vararg arguments: Any?) = Unit

    override fun debug(message: String?, cause: Throwable?) = Unit

    override fun isInfoEnabled(): Boolean = false

    override fun info(message: String?) = Unit

    override fun info(format: String, argument: Any?) = Unit

    override fun info(format: String, first: Any?, second: Any?) = Unit

    override fun info(format: String, vararg arguments: Any?) = Unit

    override fun info(message: String?, cause: Throwable?) = Unit

    override fun isWarnEnabled(): Boolean = false

    override fun warn(message: String?) = Unit

    override fun warn(format: String, argument: Any?) = Unit

    /** Netty passes the cause as the last argument of some warnings. */
    override fun warn(format: String, first: Any?, second: Any?) {
        if (second is Error) reportFailure(format, second)
    }

    override fun warn(format: String, vararg arguments: Any?) = Unit

    override fun warn(message: String?, cause: Throwable?) {
        if (cause is Error) reportFailure(message.orEmpty(), cause)
    }
}
