package org.jacinthlink.cli.load

/** Request number [number] of [stream], due [sendAtUs] after the start of the run. */
internal data class ScheduledRequest(val sendAtUs: Long, val stream: LoadStream, val number: Int)
