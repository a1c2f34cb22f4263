package org.jacinthlink.router.relay

import org.jacinthlink.decision.fleet.BackendServer
import org.jacinthlink.decision.paths.ServingPath
import org.jacinthlink.decision.quarantine.ContentQuarantine
import org.jacinthlink.decision.quarantine.HarmfulContent
import org.jacinthlink.decision.quarantine.RequestContent
import org.jacinthlink.transport.EventLoop

/**
 * Records in the quarantine which requests a server had not begun when it was lost, and which ones
 * servers have begun.
 *
 * A lost connection alone does not mean that a server is lost. So the loss is recorded once the
 * server is found unresponsive too.
 *
 * @param isUnresponsive True if the server at an address has been found unresponsive.
 * @param onRecorded Called soon after losses were recorded, once for several.
 */
internal class ContentMonitor(
    private val loop: EventLoop,
    private val quarantine: ContentQuarantine,
    private val telemetry: Telemetry,
    private val isUnresponsive: (address: String) -> Boolean,
    private val onRecorded: () -> Unit
) {
    private var unconfirmed = emptyList<LostConnection>()
    private var isNoticeScheduled = false

    /** The harmful content of a request with [content], or null if it may be sent. */
    fun harmfulIn(content: RequestContent, nowMs: Long): HarmfulContent? =
        quarantine.harmfulIn(content, nowMs)

    /** True if one more loss may make a content of a request with [content] harmful. */
    fun isSuspect(content: RequestContent): Boolean = quarantine.isSuspect(content)

    /** Records that a server has begun to answer a request with [content]. */
    fun begun(content: RequestContent, nowMs: Long) = quarantine.recordBegun(content, nowMs)

    /**
     * Records that an attempt of a request with [content] over [path] ended before it was begun.
     *
     * @param isConnectionLost True if the connection to the first server was lost.
     */
    fun attemptLost(
        path: ServingPath,
        content: RequestContent,
        isConnectionLost: Boolean,
        nowMs: Long
    ) {
        val lost = path.parts.map { it.server }.filter { isUnresponsive(it.address) }
        lost.forEach { record(it, content, nowMs) }
        if (lost.isEmpty() && isConnectionLost) {
            val recent = unconfirmed.filter { nowMs - it.atMs < CONFIRMATION_MS }
            unconfirmed = recent + LostConnection(path.first, content, nowMs)
        }
    }

    /** Records that the server at [address] has been found unresponsive. */
    fun serverUnresponsive(address: String, nowMs: Long) {
        val (confirmed, others) = unconfirmed.partition { it.server.address == address }
        unconfirmed = others
        confirmed.filter { nowMs - it.atMs < CONFIRMATION_MS }
            .forEach { record(it.server, it.content, it.atMs) }
    }

    private fun record(server: BackendServer, content: RequestContent, atMs: Long) {
        quarantine.recordLoss(server.start, content, atMs)
        telemetry.metrics.lostBeforeBegun()
        telemetry.log.event(
            "lost_before_begun",
            "server" to server.instanceId,
            "address" to server.address,
            "whole" to content.whole,
            "parts" to content.parts.joinToString(",").ifEmpty { null }
        )
        if (isNoticeScheduled) return
        isNoticeScheduled = true
        loop.schedule(NOTICE_DELAY_MS) {
            isNoticeScheduled = false
            onRecorded()
        }
    }

    private class LostConnection(
        val server: BackendServer,
        val content: RequestContent,
        val atMs: Long
    )

    private companion object {
        /** A lost server is found unresponsive within this time. */
        const val CONFIRMATION_MS = 2_000L

        /** All streams of a lost server end within a few ms. */
        const val NOTICE_DELAY_MS = 10L
    }
}
