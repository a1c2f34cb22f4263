package org.jacinthlink.cli.load

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success

/** Reads a plan from YAML. The failure names each wrong field and the value seen. */
fun readLoadPlan(yaml: String): Outcome<LoadPlan> =
    try {
        val plan = Yaml.default.decodeFromString(LoadPlan.serializer(), yaml)
        val faults = faultsOf(plan)
        if (faults.isEmpty()) Success(plan) else invalid(faults.joinToString("; "))
    } catch (e: YamlException) {
        invalid("${e.path.toHumanReadableString()}: ${e.message} (line ${e.line})")
    }

private fun invalid(message: String) = Failure(ResultCode.SETTINGS_INVALID, message)

private fun faultsOf(plan: LoadPlan): List<String> =
    buildList {
        if (plan.entries.isEmpty()) add("entries: at least one is needed")
        if (plan.streams.isEmpty()) add("streams: at least one is needed")
        if (plan.callTimeoutMs <= 0) add("callTimeoutMs: ${plan.callTimeoutMs} is not positive")
        plan.streams.forEachIndexed { index, stream ->
            addAll(faultsOf(stream, plan.targetsMs.keys).map { "streams[$index].$it" })
        }
    }

private fun faultsOf(stream: LoadStream, classes: Set<String>): List<String> =
    buildList {
        if ((stream.model == null) == (stream.service == null)) {
            add("model: exactly one of model and service is needed")
        }
        if (stream.workClass !in classes) {
            add("class: ${stream.workClass} has no entry in targetsMs")
        }
        if (stream.ratePerSecond <= 0) {
            add("ratePerSecond: ${stream.ratePerSecond} is not positive")
        }
        if (stream.startSecond < 0 || stream.stopSecond <= stream.startSecond) {
            add("stopSecond: ${stream.stopSecond} is not after ${stream.startSecond}")
        }
        if (stream.promptTokens < 1) add("promptTokens: ${stream.promptTokens} is below 1")
        if (stream.maxTokens < 1) add("maxTokens: ${stream.maxTokens} is below 1")
    }
