package org.jacinthlink.runtime.settings

import com.charleskorn.kaml.PolymorphismStyle
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.jacinthlink.api.Failure
import org.jacinthlink.api.Outcome
import org.jacinthlink.api.ResultCode
import org.jacinthlink.api.Success

/**
 * Reads settings from [yamlText]. A failure names every fault with its path and the value seen.
 *
 * JSON is a subset of YAML. A document in JSON is read by the JSON parser, because the YAML parser
 * takes a quarter of the CPU time of a start; if that fails, the YAML parser names the faults.
 *
 * @param validate Checks what the types cannot state; called only if the types match.
 */
fun <T> loadSettings(
    serializer: KSerializer<T>,
    yamlText: String,
    validate: Validation.(T) -> Unit = {}
): Outcome<T> =
    decodeJson(serializer, yamlText, validate) ?: loadYaml(serializer, yamlText, validate)

/** Settings from [text], or null if it is not a valid document in JSON. */
private fun <T> decodeJson(
    serializer: KSerializer<T>,
    text: String,
    validate: Validation.(T) -> Unit
): Outcome<T>? {
    if (!text.trimStart().startsWith('{')) return null
    return try {
        val value = json.decodeFromString(serializer, text)
        if (Validation().apply { validate(value) }.faults.isEmpty()) Success(value) else null
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}

private fun <T> loadYaml(
    serializer: KSerializer<T>,
    text: String,
    validate: Validation.(T) -> Unit
): Outcome<T> =
    try {
        val root = yaml.parseToYamlNode(text)
        val faults = structureFaults(serializer.descriptor, root)
        if (faults.isEmpty()) decode(serializer, root, validate) else invalid(faults)
    } catch (e: YamlException) {
        invalid(listOf(yamlFault(e)))
    }

/** Reads settings from [file]. */
fun <T> loadSettings(
    serializer: KSerializer<T>,
    file: Path,
    validate: Validation.(T) -> Unit = {}
): Outcome<T> =
    try {
        when (val loaded = loadSettings(serializer, file.readText(), validate)) {
            is Success -> loaded
            is Failure -> Failure(loaded.code, "$file: ${loaded.message}")
        }
    } catch (e: IOException) {
        invalid(listOf("$file: cannot be read: ${e.javaClass.simpleName}"))
    }

/** Writes [settings] as YAML that [loadSettings] reads. */
fun <T> renderSettings(serializer: KSerializer<T>, settings: T): String =
    yaml.encodeToString(serializer, settings)

private fun <T> decode(
    serializer: KSerializer<T>,
    root: YamlNode,
    validate: Validation.(T) -> Unit
): Outcome<T> =
    try {
        val value = yaml.decodeFromYamlNode(serializer, root)
        val faults = Validation().apply { validate(value) }.faults
        if (faults.isEmpty()) Success(value) else invalid(faults)
    } catch (e: YamlException) {
        invalid(listOf(yamlFault(e)))
    } catch (e: SerializationException) {
        invalid(listOf(e.message ?: "not readable"))
    } catch (e: IllegalArgumentException) {
        // Thrown by `require` in the constructor of a settings type.
        invalid(listOf(e.message ?: "not valid"))
    }

private fun yamlFault(e: YamlException): String =
    "line ${e.line}, column ${e.column}: ${e.message.lineSequence().first()}"

private fun invalid(faults: List<String>): Outcome<Nothing> =
    Failure(ResultCode.SETTINGS_INVALID, faults.joinToString("; "))

private val json = Json { classDiscriminator = "type" }

// Created only when it is needed, because its classes take much of the CPU time of a start.
private val yaml by lazy {
    Yaml(
        configuration =
        YamlConfiguration(
            strictMode = true,
            polymorphismStyle = PolymorphismStyle.Property,
            polymorphismPropertyName = "type"
        )
    )
}
