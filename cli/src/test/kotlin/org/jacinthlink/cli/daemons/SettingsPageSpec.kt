package org.jacinthlink.cli.daemons

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import org.jacinthlink.api.Success
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.entry.checkEntry
import org.jacinthlink.runtime.settings.loadSettings
import org.jacinthlink.sidecar.SidecarSettings
import org.jacinthlink.sidecar.checkSidecar

class SettingsPageSpec :
    DescribeSpec({
        val page = Path.of("../docs/settings.md").readText()

        describe("the page of settings") {
            // Guards against a key that operators cannot look up.
            it("names every key of the daemons") {
                val keys =
                    keysOf(EntrySettings.serializer().descriptor) +
                        keysOf(SidecarSettings.serializer().descriptor)
                keys
                    .filterNot { it == "daemon" || it == "holding" }
                    .filterNot { "| `${it.removePrefix("daemon.")}` |" in page }
                    .shouldBeEmpty()
            }
            // Guards against an example that does not start.
            it("gives examples that pass the checks") {
                val examples = page.split("```yaml").drop(1).map { it.substringBefore("```") }
                examples shouldHaveSize 2
                loadSettings(EntrySettings.serializer(), examples[0]) { checkEntry(it) }
                    .shouldBeInstanceOf<Success<EntrySettings>>()
                loadSettings(SidecarSettings.serializer(), examples[1]) { checkSidecar(it) }
                    .shouldBeInstanceOf<Success<SidecarSettings>>()
            }
        }
    })

@OptIn(ExperimentalSerializationApi::class)
private fun keysOf(descriptor: SerialDescriptor, prefix: String = ""): List<String> =
    (0 until descriptor.elementsCount).flatMap { index ->
        val path = prefix + descriptor.getElementName(index)
        val element = descriptor.getElementDescriptor(index)
        if (element.kind == StructureKind.CLASS) keysOf(element, "$path.") else listOf(path)
    }
