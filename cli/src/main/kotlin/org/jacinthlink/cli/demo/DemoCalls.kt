package org.jacinthlink.cli.demo

import org.jacinthlink.api.Headers
import org.jacinthlink.cli.site.DEMO_MODEL
import org.jacinthlink.runtime.http.PeerCall

private val IDENTITY = mapOf(Headers.WORKSPACE to "shop-17", Headers.WORK_CLASS to "quotation")

/** A chat request to [entry]. */
internal fun chatCall(entry: String, stream: Boolean, maxTokens: Int): PeerCall {
    val body =
        """{"model":"$DEMO_MODEL","stream":$stream,"max_tokens":$maxTokens,""" +
            """"messages":[{"role":"user","content":"Price of forty rear lamps?"}]}"""
    return PeerCall("POST", "http://$entry/v1/chat/completions", body, IDENTITY)
}

/** A booking that may run once only. */
internal fun bookingCall(entry: String): PeerCall =
    PeerCall(
        "POST",
        "http://$entry/v1/services/order-desk/bookings",
        """{"reference":"demo-1"}""",
        IDENTITY + (Headers.IDEMPOTENCY_KEY to "demo-key-1")
    )
