package org.jacinthlink.router.soak

import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.div

/** Starts the processes of one test, and keeps what they write on standard error in [folder]. */
internal class ProcessWatch(val folder: Path) {
    private val processes = CopyOnWriteArrayList<WatchedProcess>()

    /** Starts [builder]; the files of a process that is started again are appended to. */
    fun start(name: String, builder: ProcessBuilder): WatchedProcess {
        val errors = folder / "$name.err"
        val process =
            builder.redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile())).start()
        return WatchedProcess(name, process, errors, folder / "$name.exit")
            .also { processes.add(it) }
    }

    /** Describes each process that ended by itself, and each failure that one reported. */
    fun failures(): List<String> = processes.flatMap { it.failures() }.distinct()
}
