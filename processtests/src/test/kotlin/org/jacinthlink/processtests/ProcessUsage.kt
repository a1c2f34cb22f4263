package org.jacinthlink.processtests

import java.io.File

/** Processor time and resident memory of a process so far, from the proc file system. */
data class ProcessUsage(val cpuMs: Long, val residentBytes: Long) {
    companion object {
        // Clock ticks and pages as Linux reports them on x86-64.
        private const val MS_PER_TICK = 10
        private const val PAGE_BYTES = 4_096L
        private const val USER_TICKS_FIELD = 11
        private const val RESIDENT_PAGES_FIELD = 21

        /** Largest resident memory that the process [pid] ever had, rounded up. */
        fun largestResidentMb(pid: Long): Long {
            val line = File("/proc/$pid/status").readLines().first { it.startsWith("VmHWM:") }
            val sizeKb = line.filter(Char::isDigit).toLong()
            return (sizeKb + 1_023) / 1_024
        }

        /** Usage of the process [pid]. */
        fun of(pid: Long): ProcessUsage {
            // Fields are counted after the command name, which may hold blanks.
            val fields = File("/proc/$pid/stat").readText().substringAfterLast(") ").split(' ')
            val ticks = fields[USER_TICKS_FIELD].toLong() + fields[USER_TICKS_FIELD + 1].toLong()
            val pages = fields[RESIDENT_PAGES_FIELD].toLong()
            return ProcessUsage(ticks * MS_PER_TICK, pages * PAGE_BYTES)
        }
    }
}

/** Role of the process [name] of the demo. */
fun roleOf(name: String): String =
    when {
        name.startsWith("entry") -> "entry"
        name.startsWith("order-desk") -> "service sidecar"
        name.endsWith("-0") -> "head sidecar"
        else -> "stage sidecar"
    }
