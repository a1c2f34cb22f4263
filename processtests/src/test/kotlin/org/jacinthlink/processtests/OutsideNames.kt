package org.jacinthlink.processtests

import java.io.File
import org.objectweb.asm.ClassReader
import org.objectweb.asm.Opcodes
import org.objectweb.asm.tree.AbstractInsnNode
import org.objectweb.asm.tree.ClassNode
import org.objectweb.asm.tree.LdcInsnNode
import org.objectweb.asm.tree.MethodInsnNode
import org.objectweb.asm.tree.MethodNode

/** Result types whose `toString()` text is logged or sent in a response. */
private val LOGGED_TYPES =
    setOf(
        "BufferedResult",
        "StoreAnswer",
        "OrderAnswer",
        "CallReply",
        "CallAnswer",
        "EngineResult",
        "ClaimResult",
        "PeerResult"
    )

private val REFERENCE = Regex("kotlin/jvm/internal/\\w*Reference\\w*")

private val WORD = Regex("[!-~]{2,}")

private val PHRASE = Regex("[ -~]{2,}")

/**
 * Sorted list of the names in the compiled classes below [classes] that leave the process.
 *
 * @param withPhrases True to include texts that contain spaces, for modules in which they are
 *   values of log keys or metric tags.
 */
fun outsideNames(classes: File, withPhrases: Boolean): List<String> {
    val texts = if (withPhrases) PHRASE else WORD
    val nodes = classes.walk().filter { it.extension == "class" }.map(::classNode).toList()
    return nodes.flatMap {
        it.serialNames() + it.enumConstants() + it.delegatedProperties() + it.words(texts) +
            it.loggedTypes()
    }.distinct().sorted()
}

private fun classNode(file: File): ClassNode =
    ClassNode().also { ClassReader(file.readBytes()).accept(it, ClassReader.SKIP_DEBUG) }

private val ClassNode.isSerializer get() = name.endsWith("\$\$serializer")

private val ClassNode.isEnum get() = access and Opcodes.ACC_ENUM != 0

/** The fields of a serialized type in declaration order, after its serial name if one is given. */
private fun ClassNode.serialNames(): List<String> {
    if (!isSerializer) return emptyList()
    val strings = methods.single { it.name == "<clinit>" }.strings()
    val name = strings.first().takeUnless { it.startsWith("org.jacinthlink.") }
    return listOf("fields: ${listOfNotNull(name).plus(strings.drop(1)).joinToString(" ")}")
}

private fun ClassNode.enumConstants(): List<String> {
    val constants = fields.filter { it.access and Opcodes.ACC_ENUM != 0 }.map { it.name }
    return if (constants.isEmpty()) emptyList() else listOf("enum: ${constants.joinToString(" ")}")
}

/** Names of properties that a delegate can read, as the command line's parser does. */
private fun ClassNode.delegatedProperties(): List<String> {
    if (fields.none { it.name == "\$\$delegatedProperties" }) return emptyList()
    return methods.filter { it.name == "<clinit>" }.flatMap { method ->
        method.literals().filter { it.isReferenceName() }.map { "property: ${it.cst}" }
    }
}

/** Literals that match [texts]: keys, paths, headers, metrics, events, flags. */
private fun ClassNode.words(texts: Regex): List<String> {
    if (isSerializer || REFERENCE.matches(superName)) return emptyList()
    return methods.filterNot { (isEnum && it.name == "<clinit>") || isGeneratedToString(it) }
        .flatMap { it.literals() }
        .filterNot { it.isParameterName() || it.isReferenceName() || it.isReferenceSignature() }
        .map { (it.cst as String).trim() }
        .filter { texts.matches(it) && it.any(Char::isLetter) }
        .filterNot { it.startsWith("org.jacinthlink.") }
        .map { "word: $it" }
}

private fun ClassNode.loggedTypes(): List<String> {
    val outer = name.substringAfterLast('/').substringBefore('$')
    if (outer !in LOGGED_TYPES) return emptyList()
    return methods.filter(::isGeneratedToString)
        .map { "text: ${it.strings().joinToString("")}" }
}

private fun ClassNode.isGeneratedToString(method: MethodNode): Boolean =
    method.name == "toString" &&
        method.desc == "()Ljava/lang/String;" &&
        method.strings().firstOrNull()?.substringBefore('(') == simpleName()

private fun ClassNode.simpleName() = name.substringAfterLast('/').substringAfterLast('$')

private fun MethodNode.literals(): List<LdcInsnNode> =
    instructions.filterIsInstance<LdcInsnNode>().filter { it.cst is String }

private fun MethodNode.strings(): List<String> = literals().map { it.cst as String }

/** True for a name that a null check of the compiler reports. */
private fun LdcInsnNode.isParameterName(): Boolean =
    (nextCode() as? MethodInsnNode)
        ?.let { it.owner == "kotlin/jvm/internal/Intrinsics" && it.name != "areEqual" } == true

/** True for the name of a property or function reference. Its signature is the next literal. */
private fun LdcInsnNode.isReferenceName(): Boolean =
    (nextCode() as? LdcInsnNode)?.isReferenceSignature() == true

private fun LdcInsnNode.isReferenceSignature(): Boolean =
    Regex("[\\w$-]+\\(.*\\)\\S+").matches(cst.toString()) &&
        generateSequence(nextCode()) { it.nextCode() }.take(2)
            .any { it is MethodInsnNode && REFERENCE.matches(it.owner) }

private fun AbstractInsnNode.nextCode(): AbstractInsnNode? =
    generateSequence(next) { it.next }.firstOrNull { it.opcode >= 0 }
