package org.jacinthlink.cli.measure

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.createTempDirectory
import kotlin.io.path.deleteRecursively
import kotlin.io.path.writeText
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.jacinthlink.cli.Command
import org.jacinthlink.cli.ExitCode
import org.jacinthlink.cli.fail
import org.jacinthlink.cli.site.ProcessLauncher

/** Compares requests through an entry with the same work directly at the backend servers. */
internal class OverheadCommand :
    Command("overhead", "Measures what the system adds over calls to the backend servers") {
    private val requests by
        option(ArgType.Int, "requests", description = "requests of each kind on each way")
            .default(OverheadPlan().requests)
    private val warmUp by
        option(ArgType.Int, "warm-up", description = "requests before them that do not count")
            .default(OverheadPlan().warmUpRequests)
    private val json by option(ArgType.String, "json", description = "file for the figures")

    /** True once the command has run, for the command that it belongs to. */
    var hasRun = false
        private set

    override fun run(): ExitCode {
        hasRun = true
        if (requests < 1) return fail(ExitCode.SETTINGS_INVALID, "requests: $requests is below 1")
        if (warmUp < 0) return fail(ExitCode.SETTINGS_INVALID, "warm-up: $warmUp is negative")
        val folder = createTempDirectory("jacinthlink-measure")
        val plan = OverheadPlan(requests, warmUp)
        return try {
            val report = runOverhead(plan, ProcessLauncher(folder))
            delete(folder)
            print(overheadText(report))
            json?.let { Path.of(it).writeText(overheadJson(report)) }
            ExitCode.OK
        } catch (e: IllegalStateException) {
            fail(ExitCode.INCOMPLETE, "ended early: ${e.message}; logs of the daemons: $folder")
        } catch (e: IOException) {
            fail(ExitCode.SETTINGS_INVALID, "${e.javaClass.simpleName}: ${e.message}")
        }
    }

    @OptIn(ExperimentalPathApi::class)
    private fun delete(folder: Path) = folder.deleteRecursively()
}
