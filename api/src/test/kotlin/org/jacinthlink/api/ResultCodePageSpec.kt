package org.jacinthlink.api

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import kotlin.io.path.readLines

class ResultCodePageSpec :
    DescribeSpec({
        val rows = Path.of("../docs/result-codes.md").readLines()

        describe("the page of result codes") {
            it("lists each code with its number, HTTP status and not-run guarantee") {
                ResultCode.entries.forEach { code ->
                    val notRun = if (code.notRun) "yes" else "no"
                    val start = "| ${code.number} | ${code.name} | ${code.httpStatus} | $notRun |"
                    rows.any { it.startsWith(start) && it.length > start.length + 10 } shouldBe true
                }
            }
            it("uses each number once") {
                ResultCode.entries.map { it.number }.toSet().size shouldBe ResultCode.entries.size
            }
        }
    })
