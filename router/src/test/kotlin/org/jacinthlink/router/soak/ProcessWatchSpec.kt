package org.jacinthlink.router.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import kotlin.io.path.div
import kotlin.io.path.exists
import org.jacinthlink.router.standins.await

/** The processes of a soak are watched for failures that no caller need see. */
class ProcessWatchSpec :
    DescribeSpec({
        val watch = ProcessWatch(tempdir().toPath())

        describe("a watched process") {
            it("is reported if it ends by itself, with what it wrote about its event loop") {
                val script = "echo event loop: ended >&2; exit 0"
                val ended = watch.start("ended", ProcessBuilder("sh", "-c", script))
                await { !ended.isAlive && (watch.folder / "ended.exit").exists() }
                ended.kill()
                watch.failures() shouldContainExactlyInAnyOrder
                    listOf("ended: event loop: ended", "ended ended by itself with code 0")
            }
            it("is not reported if the test ends it") {
                val killed = watch.start("killed", ProcessBuilder("sleep", "60"))
                killed.kill()
                killed.failures().shouldBeEmpty()
            }
        }
    })
