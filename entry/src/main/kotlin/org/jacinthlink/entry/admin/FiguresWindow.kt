package org.jacinthlink.entry.admin

/** Figures of the classes over the last minute, kept by the second. */
internal class FiguresWindow {
    private val seconds = ArrayDeque<Second>()

    private class Second(val index: Long, val classes: HashMap<String, ClassFigures>)

    @Synchronized
    fun add(workClass: String, figures: ClassFigures, nowMs: Long) {
        val index = nowMs / MS_PER_SECOND
        drop(index)
        if (seconds.lastOrNull()?.index != index) seconds.addLast(Second(index, HashMap()))
        seconds.last().classes.merge(workClass, figures, ClassFigures::plus)
    }

    @Synchronized
    fun total(nowMs: Long): Map<String, ClassFigures> {
        drop(nowMs / MS_PER_SECOND)
        return totalFigures(seconds.map { it.classes })
    }

    private fun drop(index: Long) {
        while (seconds.isNotEmpty() && seconds.first().index <= index - WINDOW_SECONDS) {
            seconds.removeFirst()
        }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val WINDOW_SECONDS = 60
    }
}

/** Adds the figures of each class over all [parts]. */
internal fun totalFigures(parts: List<Map<String, ClassFigures>>): Map<String, ClassFigures> =
    parts
        .flatMap { it.entries }
        .groupBy({ it.key }, { it.value })
        .mapValues { (_, figures) -> figures.reduce(ClassFigures::plus) }
