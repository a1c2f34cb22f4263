package org.jacinthlink.decision.configuration

import org.jacinthlink.api.Configuration
import org.jacinthlink.api.ConfigurationChange
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success
import org.jacinthlink.api.WorkClass

/**
 * Applies [change] to [configuration].
 *
 * The revision does not change, because the writer sets it to the version that its write creates.
 * A change whose id is among the recent change ids has already taken effect, so it leaves the
 * document unchanged.
 */
fun applyChange(
    configuration: Configuration,
    change: ConfigurationChange
): Outcome<Configuration> {
    if (change.changeId in configuration.recentChangeIds) return Success(configuration)
    if (change.changeId.length !in 1..ConfigurationRules.MAX_CHANGE_ID_LENGTH) {
        return invalid("changeId", change.changeId, "1 to 64 characters")
    }
    val applied =
        when (change) {
            is ConfigurationChange.PutClass -> putClass(configuration, change.workClass)
            is ConfigurationChange.RemoveClass -> removeClass(configuration, change.name)
            is ConfigurationChange.Quarantine -> quarantine(configuration, change)
            is ConfigurationChange.Release -> release(configuration, change.fingerprint)
        }
    return when (applied) {
        is Failure -> applied
        is Success -> Success(recordChangeId(applied.value, change.changeId))
    }
}

/** Returns the document with the higher revision; [a] if both are equal. */
fun newer(a: Configuration, b: Configuration): Configuration =
    if (b.revision > a.revision) b else a

private fun putClass(configuration: Configuration, workClass: WorkClass): Outcome<Configuration> {
    validate(workClass)?.let { return it }
    val classes = configuration.classes + (workClass.name to workClass)
    return if (classes.size > ConfigurationRules.MAX_CLASSES) {
        invalid("classes", classes.size, "at most ${ConfigurationRules.MAX_CLASSES} classes")
    } else {
        Success(configuration.copy(classes = classes))
    }
}

private fun validate(workClass: WorkClass): Failure? {
    val timeRangeMs = 1..ConfigurationRules.MAX_TARGET_MS
    val worthRange = 1..ConfigurationRules.MAX_WORTH
    return when {
        !ConfigurationRules.NAME_PATTERN.matches(workClass.name) ->
            invalid("name", workClass.name, "the pattern ${ConfigurationRules.NAME_PATTERN}")
        workClass.targetMs !in timeRangeMs ->
            invalid("targetMs", workClass.targetMs, timeRangeMs)
        workClass.tokenGapMs !in timeRangeMs ->
            invalid("tokenGapMs", workClass.tokenGapMs, timeRangeMs)
        workClass.worth !in worthRange -> invalid("worth", workClass.worth, worthRange)
        else -> null
    }
}

private fun removeClass(configuration: Configuration, name: String): Outcome<Configuration> =
    if (name in configuration.classes) {
        Success(configuration.copy(classes = configuration.classes - name))
    } else {
        Failure(ResultCode.NOT_FOUND, "class '$name' does not exist")
    }

private fun quarantine(
    configuration: Configuration,
    change: ConfigurationChange.Quarantine
): Outcome<Configuration> {
    if (change.fingerprint.length !in 1..ConfigurationRules.MAX_FINGERPRINT_LENGTH) {
        return invalid("fingerprint", change.fingerprint, "1 to 128 characters")
    }
    if (change.fingerprint in configuration.quarantine) return Success(configuration)
    // A full quarantine drops its oldest entry. Callers retry recent requests, so rejecting the new
    // entry would allow its request to crash a third backend server.
    val kept =
        configuration.quarantine.entries
            .sortedBy { it.value }
            .takeLast(ConfigurationRules.MAX_QUARANTINE - 1)
            .associate { it.toPair() }
    return Success(
        configuration.copy(quarantine = kept + (change.fingerprint to change.addedAtMs))
    )
}

private fun release(configuration: Configuration, fingerprint: String): Outcome<Configuration> =
    if (fingerprint in configuration.quarantine) {
        Success(configuration.copy(quarantine = configuration.quarantine - fingerprint))
    } else {
        Failure(ResultCode.NOT_FOUND, "fingerprint '$fingerprint' is not in quarantine")
    }

private fun recordChangeId(configuration: Configuration, changeId: String): Configuration =
    configuration.copy(
        recentChangeIds =
        (configuration.recentChangeIds + changeId)
            .takeLast(ConfigurationRules.MAX_RECENT_CHANGE_IDS)
    )

private fun invalid(field: String, seen: Any, expected: Any) =
    Failure(ResultCode.CONFIGURATION_INVALID, "$field must be in $expected, was '$seen'")
