package org.jacinthlink.router.relay

import org.apache.commons.codec.digest.MurmurHash3
import org.jacinthlink.decision.quarantine.ContentId
import org.jacinthlink.decision.quarantine.RequestContent
import org.jacinthlink.platform.forward.RequestInfo
import org.jacinthlink.transport.ServerRequest

/** Largest number of parts of one prompt that are kept; those at its start are left out. */
internal const val MAX_PARTS = 16

/** Content of a client's [request] of [workspace]; the last part of its prompt is its own. */
internal fun requestContent(
    request: ServerRequest,
    info: RequestInfo,
    workspace: String?
): RequestContent {
    val text = listOf(request.method, request.target, workspace.orEmpty()) + info.promptParts
    val whole = text.joinToString("\n").toByteArray() + request.body
    return RequestContent(
        contentId(whole),
        info.promptParts.dropLast(1).takeLast(MAX_PARTS).map { contentId(it.toByteArray()) }
    )
}

/** Hash of [bytes]. */
internal fun contentId(bytes: ByteArray) = ContentId(MurmurHash3.hash128x64(bytes).first())
