package org.jacinthlink.processtests

import java.util.concurrent.ConcurrentHashMap
import kotlin.io.path.createTempDirectory
import org.jacinthlink.cli.site.DaemonProcess
import org.jacinthlink.cli.site.Launcher
import org.jacinthlink.cli.site.ProcessLauncher
import org.jacinthlink.entry.EntrySettings
import org.jacinthlink.sidecar.SidecarSettings

/** Starts each daemon as an operating-system process and keeps the latest one of each name. */
class TestLauncher : Launcher {
    private val launcher = ProcessLauncher(createTempDirectory("jacinthlink"), testClassPath())

    /** Latest process of each name. */
    val processes = ConcurrentHashMap<String, JvmProcess>()

    override fun entry(settings: EntrySettings): JvmProcess = kept(launcher.entry(settings))

    override fun sidecar(settings: SidecarSettings): JvmProcess = kept(launcher.sidecar(settings))

    private fun kept(daemon: DaemonProcess): JvmProcess =
        JvmProcess(daemon).also { processes[daemon.name] = it }
}

// Surefire starts the tests from a jar that only refers to the class path.
private fun testClassPath(): String =
    System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
