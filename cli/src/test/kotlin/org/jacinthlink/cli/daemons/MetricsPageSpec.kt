package org.jacinthlink.cli.daemons

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import java.io.File

class MetricsPageSpec :
    DescribeSpec({
        describe("the page of metrics") {
            // Guards against a metric without a unit, and a page about metrics that are gone.
            it("names exactly the metrics that the code registers, each with its unit") {
                val literal = Regex("\"(jacinthlink(\\.[a-z]+)+)\"")
                val registered =
                    listOf("runtime", "entry", "sidecar")
                        .flatMap { File("../$it/src/main").walk().filter(File::isFile) }
                        .flatMap { file -> literal.findAll(file.readText()) }
                        .map { it.groupValues[1] }
                val row = Regex("^\\| `(jacinthlink[a-z.]+)` \\| [^|]+ \\| [^|]+ \\|")
                val described =
                    File("../docs/metrics.md").readLines().mapNotNull(row::find)
                        .map { it.groupValues[1] }
                described.sorted() shouldContainExactly registered.distinct().sorted()
            }
        }
    })
