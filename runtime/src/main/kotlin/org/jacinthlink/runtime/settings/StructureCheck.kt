@file:OptIn(ExperimentalSerializationApi::class)

package org.jacinthlink.runtime.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames

/**
 * Compares a YAML tree with the type that it is to become and names all differences.
 *
 * The decoder itself stops at the first fault, which would make operators repair a file step by
 * step.
 */
internal fun structureFaults(descriptor: SerialDescriptor, root: YamlNode): List<String> =
    StructureCheck().apply { check(descriptor, root, "") }.faults

private class StructureCheck {
    val faults = mutableListOf<String>()

    fun check(descriptor: SerialDescriptor, node: YamlNode, path: String) {
        val type = if (descriptor.isInline) descriptor.getElementDescriptor(0) else descriptor
        when {
            node is YamlTaggedNode -> check(type, node.innerNode, path)
            node is YamlNull -> checkNull(descriptor, node, path)
            else -> checkKind(type, node, path)
        }
    }

    private fun checkNull(descriptor: SerialDescriptor, node: YamlNode, path: String) {
        if (!descriptor.isNullable) fault(path, node, "no value is given")
    }

    private fun checkKind(type: SerialDescriptor, node: YamlNode, path: String) =
        when (val kind = type.kind) {
            is PrimitiveKind -> checkScalar(kind, node, path)
            SerialKind.ENUM -> checkEnum(type, node, path)
            StructureKind.CLASS, StructureKind.OBJECT ->
                checkMap(node, path) { checkClass(type, it, path, emptySet()) }
            StructureKind.MAP -> checkMap(node, path) { checkEntries(type, it, path) }
            StructureKind.LIST -> checkList(type, node, path)
            PolymorphicKind.SEALED -> checkMap(node, path) { checkSealed(type, it, path) }
            else -> Unit
        }

    private fun checkMap(node: YamlNode, path: String, check: (YamlMap) -> Unit) =
        if (node is YamlMap) check(node) else unexpected(path, node, "a map")

    private fun checkList(type: SerialDescriptor, node: YamlNode, path: String) {
        if (node !is YamlList) return unexpected(path, node, "a list")
        val element = type.getElementDescriptor(0)
        node.items.forEachIndexed { index, item -> check(element, item, "$path[$index]") }
    }

    private fun checkEntries(type: SerialDescriptor, map: YamlMap, path: String) =
        map.entries.forEach { (key, value) ->
            val keyPath = child(path, key.content)
            check(type.getElementDescriptor(0), key, keyPath)
            check(type.getElementDescriptor(1), value, keyPath)
        }

    private fun checkClass(
        type: SerialDescriptor,
        map: YamlMap,
        path: String,
        allowed: Set<String>
    ) {
        val values = map.entries.mapKeys { it.key.content }
        (values.keys - type.elementNames.toSet() - allowed).forEach { key ->
            val known = type.elementNames.joinToString(", ")
            val value = values.getValue(key)
            val seen = if (looksSecret(key)) "a hidden value" else seen(value)
            fault(child(path, key), value, "unknown key, with $seen (known: $known)")
        }
        type.elementNames.forEachIndexed { index, name ->
            val value = values[name]
            val descriptor = type.getElementDescriptor(index)
            if (value != null) {
                check(descriptor, value, child(path, name))
            } else if (!type.isElementOptional(index)) {
                fault(child(path, name), map, "is missing")
            }
        }
    }

    private fun checkSealed(type: SerialDescriptor, map: YamlMap, path: String) {
        val subtypes = type.getElementDescriptor(1)
        val chosen = map.getScalar(TYPE_KEY)?.content
        val index = subtypes.elementNames.indexOf(chosen)
        when {
            chosen == null -> fault(child(path, TYPE_KEY), map, "is missing")
            index < 0 ->
                fault(
                    child(path, TYPE_KEY),
                    map,
                    "'$chosen' is not one of ${subtypes.elementNames.joinToString(", ")}"
                )
            else -> checkClass(subtypes.getElementDescriptor(index), map, path, setOf(TYPE_KEY))
        }
    }

    private fun checkEnum(type: SerialDescriptor, node: YamlNode, path: String) {
        val names = type.elementNames.toList()
        if (node !is YamlScalar || node.content !in names) {
            unexpected(path, node, "one of ${names.joinToString(", ")}")
        }
    }

    private fun checkScalar(kind: PrimitiveKind, node: YamlNode, path: String) {
        val wanted = SCALARS.getValue(kind)
        if (node !is YamlScalar || !wanted.accepts(node)) unexpected(path, node, wanted.name)
    }

    private fun unexpected(path: String, node: YamlNode, wanted: String) =
        fault(path, node, "${seen(node)} is not $wanted")

    private fun fault(path: String, node: YamlNode, message: String) {
        val shownPath = path.ifEmpty { "settings" }
        faults += "$shownPath: $message (line ${node.location.line})"
    }

    private fun child(path: String, key: String) = if (path.isEmpty()) key else "$path.$key"
}

private class ScalarType(val name: String, private val read: (YamlScalar) -> Any) {
    fun accepts(node: YamlScalar): Boolean = runCatching { read(node) }.isSuccess
}

private val SCALARS: Map<PrimitiveKind, ScalarType> =
    mapOf(
        PrimitiveKind.BOOLEAN to ScalarType("true or false", YamlScalar::toBoolean),
        PrimitiveKind.BYTE to ScalarType("a whole number", YamlScalar::toByte),
        PrimitiveKind.SHORT to ScalarType("a whole number", YamlScalar::toShort),
        PrimitiveKind.INT to ScalarType("a whole number", YamlScalar::toInt),
        PrimitiveKind.LONG to ScalarType("a whole number", YamlScalar::toLong),
        PrimitiveKind.FLOAT to ScalarType("a number", YamlScalar::toFloat),
        PrimitiveKind.DOUBLE to ScalarType("a number", YamlScalar::toDouble),
        PrimitiveKind.CHAR to ScalarType("a character", YamlScalar::toChar),
        PrimitiveKind.STRING to ScalarType("a text", YamlScalar::content)
    )

/** Value of [node] as shown to operators. */
private fun seen(node: YamlNode): String =
    when (node) {
        is YamlMap -> "a map"
        is YamlList -> "a list"
        is YamlScalar -> "'${node.content}'"
        else -> "no value"
    }

// A part of the word is enough, so that a misspelled key does not print its secret.
private fun looksSecret(key: String) = SECRET_HINTS.any { it in key.lowercase() }

private val SECRET_HINTS = listOf("tok", "sec", "pass", "key", "auth")

private const val TYPE_KEY = "type"
