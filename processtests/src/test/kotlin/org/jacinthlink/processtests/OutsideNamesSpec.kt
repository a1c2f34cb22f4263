package org.jacinthlink.processtests

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.io.File

private const val LIST = "src/test/resources/outside-names.txt"

private val MODULES =
    listOf(
        "api",
        "decision",
        "runtime",
        "transport",
        "platform",
        "sidecar",
        "entry",
        "standins",
        "router",
        "cli"
    )

/**
 * Guards against a rename that changes a message, setting, stored field, log key, metric, flag or
 * deploy line, which processes of another version, operators and stored data rely on.
 *
 * `-Doutside.names=write` regenerates the lists after an intended change.
 */
class OutsideNamesSpec :
    DescribeSpec({
        MODULES.forEach { module ->
            describe("the names of $module that leave the process") {
                it("are those of its list") {
                    val names = outsideNames(
                        File("../$module/target/classes"),
                        withPhrases = module == "router"
                    )
                    names.shouldNotBeEmpty()
                    names.shouldBeListed(File("../$module/$LIST"))
                }
            }
        }
        describe("the deploy files") {
            it("have the lines of their list, comments aside") {
                val files =
                    listOf("system.toml", "router.yaml.template", "warm-up.yaml")
                        .map { File("../deploy/$it") }
                files.flatMap(::settingLines).shouldBeListed(File("src/test/resources/deploy.txt"))
            }
        }
    })

private fun settingLines(file: File): List<String> =
    file.readLines().filterNot { it.isBlank() || it.trim().startsWith("#") }

private fun List<String>.shouldBeListed(list: File) {
    if (System.getProperty("outside.names") == "write") {
        list.parentFile.mkdirs()
        list.writeText(joinToString("\n", postfix = "\n"))
    }
    this shouldContainExactly list.readLines()
}
