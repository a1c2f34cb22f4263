package org.jacinthlink.entry

import kotlinx.serialization.Serializable
import org.jacinthlink.runtime.daemon.DaemonSettings
import org.jacinthlink.runtime.daemon.checkDaemon
import org.jacinthlink.runtime.settings.Validation

/**
 * Settings of an entry.
 *
 * @property instanceListUrl Base URL of the platform's instance list.
 * @property keyValueUrl Base URL of the platform's key-value service.
 * @property operatorToken Bearer token of the routes under `/v1/admin`.
 */
@Serializable
data class EntrySettings(
    val daemon: DaemonSettings,
    val instanceListUrl: String,
    val keyValueUrl: String,
    val operatorToken: String,
    val limits: EntryLimits = EntryLimits()
) {
    override fun toString() = "EntrySettings(daemon=$daemon)"
}

/** Checks [settings] for what their types cannot state. */
fun Validation.checkEntry(settings: EntrySettings) {
    checkDaemon("daemon", settings.daemon)
    url("instanceListUrl", settings.instanceListUrl)
    url("keyValueUrl", settings.keyValueUrl)
    check("operatorToken", settings.operatorToken.length >= MIN_TOKEN_LENGTH) {
        "must have at least $MIN_TOKEN_LENGTH characters, has ${settings.operatorToken.length}"
    }
    val limits = settings.limits
    inRange("limits.maxBodyBytes", limits.maxBodyBytes, 1L..16_777_216L)
    inRange("limits.maxOpenRequests", limits.maxOpenRequests, 1..100_000)
    inRange("limits.maxPromptTokens", limits.maxPromptTokens, 1..1_000_000)
    inRange("limits.maxTokens", limits.maxTokens, 1..1_000_000)
    inRange("limits.defaultMaxTokens", limits.defaultMaxTokens, 1..limits.maxTokens)
    inRange("limits.claimBuckets", limits.claimBuckets, 1..65_536)
    inRange("limits.callThreads", limits.callThreads, 1..1_000)
    inRange("limits.maxQueuedCalls", limits.maxQueuedCalls, 1..10_000)
    inRange("limits.settlingMs", limits.settlingMs, 0L..60_000L)
    inRange("limits.drainNoticeMs", limits.drainNoticeMs, 0L..600_000L)
}

private const val MIN_TOKEN_LENGTH = 16
