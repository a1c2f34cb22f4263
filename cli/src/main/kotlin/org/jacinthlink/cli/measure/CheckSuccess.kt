package org.jacinthlink.cli.measure

import org.jacinthlink.runtime.http.PeerResult

/** Throws [IllegalStateException] unless [what] was answered with success. */
internal fun PeerResult.checkSuccess(what: String) =
    check(this is PeerResult.Answered && isSuccess) { "$what: $this" }
