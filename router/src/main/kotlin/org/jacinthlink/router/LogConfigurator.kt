package org.jacinthlink.router

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.LayoutBase
import ch.qos.logback.core.encoder.LayoutWrappingEncoder
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Writes log lines to standard output through a bounded queue.
 *
 * Lines are dropped when the queue is full, so that a blocked output never delays a request.
 * Reading the same configuration from an XML file took a third of the CPU time of a start.
 */
internal class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        context.getLogger("io.netty").level = Level.ERROR
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(boundedAppender(context))
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun boundedAppender(context: LoggerContext): AsyncAppender =
        AsyncAppender().apply {
            this.context = context
            queueSize = QUEUE_SIZE
            discardingThreshold = 0
            isNeverBlock = true
            addAppender(consoleAppender(context))
            start()
        }

    private fun consoleAppender(context: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val lines = LayoutWrappingEncoder<ILoggingEvent>()
        lines.context = context
        lines.layout = MessageLayout().apply { start() }
        lines.start()
        return ConsoleAppender<ILoggingEvent>().apply {
            this.context = context
            encoder = lines
            start()
        }
    }

    /** The message alone. The parser of pattern layouts takes a tenth of the time of a start. */
    private class MessageLayout : LayoutBase<ILoggingEvent>() {
        override fun doLayout(event: ILoggingEvent): String = event.formattedMessage + "\n"
    }

    private companion object {
        /** Maximum number of lines that wait for the output. */
        const val QUEUE_SIZE = 2_048
    }
}
