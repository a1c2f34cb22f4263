package org.jacinthlink.transport

import io.kotest.core.spec.style.DescribeSpec
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.util.concurrent.atomic.AtomicInteger

class EventLoopSpec :
    DescribeSpec({
        val loop = eventLoop("test")
        afterSpec { loop.stop() }

        /** Runs [test] with what is written to standard error meanwhile. */
        fun withErrors(test: (errors: () -> String) -> Unit) {
            val former = System.err
            val errors = ByteArrayOutputStream()
            System.setErr(PrintStream(errors, true))
            try {
                test { errors.toString() }
            } finally {
                System.setErr(former)
            }
        }

        describe("a periodic task") {
            // Guards against a router that no longer places layers or follows its peers after one
            // value that a decision could not handle.
            it("goes on after a run that has failed") {
                val runs = AtomicInteger()
                loop.repeat(5) { check(runs.incrementAndGet() > 1) { "first run" } }
                await { runs.get() >= 3 }
            }

            // Guards against the same after one decision that nested too deeply.
            it("goes on after a run that has used up the stack, and reports it") {
                withErrors { errors ->
                    val runs = AtomicInteger()
                    loop.repeat(5) {
                        if (runs.incrementAndGet() == 1) throw StackOverflowError("first run")
                    }
                    await { runs.get() >= 3 }
                    await { "periodic task failed" in errors() && "first run" in errors() }
                }
            }
        }
    })
