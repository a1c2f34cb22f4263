package org.jacinthlink.cli.admin

import org.jacinthlink.entry.admin.EventsAnswer

/** HTML page with the time line of [answer] as a picture. It loads nothing from elsewhere. */
internal fun timeLinePage(title: String, answer: EventsAnswer): String {
    val layout = timeLineLayout(answer)
    val missing =
        if (answer.missing.isEmpty()) {
            "All processes answered."
        } else {
            "No answer from: ${answer.missing.joinToString()}"
        }
    return """
        |<!DOCTYPE html>
        |<html lang="en"><head><meta charset="utf-8"><title>${escaped(title)}</title></head>
        |<body style="font-family: sans-serif; font-size: 13px">
        |<h1>${escaped(title)}</h1>
        |<p>${escaped(missing)}</p>
        |${TimeLineDrawing(layout).svg()}
        |</body></html>
        |
    """.trimMargin()
}

private class TimeLineDrawing(private val layout: TimeLineLayout) {
    private val widthPx = LEFT_PX + layout.lanes.size * LANE_PX
    private val heightPx = TOP_PX + (layout.rows.size + 1) * ROW_PX
    private val requests = layout.rows.mapNotNull { it.event.requestId }.distinct()

    fun svg(): String =
        buildString {
            append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$widthPx\" ")
            append("height=\"$heightPx\" font-size=\"12\">\n")
            layout.lanes.forEachIndexed { index, name -> append(lane(index, name)) }
            layout.rows.forEachIndexed { index, row -> append(link(index, row)) }
            layout.rows.forEachIndexed { index, row -> append(mark(index, row)) }
            append("</svg>")
        }

    private fun lane(index: Int, name: String): String {
        val isMissing = name in layout.missing
        val label = if (isMissing) "$name (no answer)" else name
        val dash = if (isMissing) " stroke-dasharray=\"4 4\"" else ""
        val color = if (isMissing) FAULT_COLOR else "#999999"
        return "<line x1=\"${x(index)}\" y1=\"${TOP_PX - 10}\" x2=\"${x(index)}\" " +
            "y2=\"$heightPx\" stroke=\"$color\"$dash/>\n" +
            text(x(index) - LANE_PX / 8, TOP_PX - 18, label)
    }

    private fun link(index: Int, row: TimeLineRow): String {
        val from = row.previousRow ?: return ""
        val color = color(row.event.requestId)
        return "<line x1=\"${x(layout.rows[from].lane)}\" y1=\"${y(from)}\" " +
            "x2=\"${x(row.lane)}\" y2=\"${y(index)}\" stroke=\"$color\" opacity=\"0.6\"/>\n"
    }

    private fun mark(index: Int, row: TimeLineRow): String {
        val color = if (row.isFault) FAULT_COLOR else color(row.event.requestId)
        val detail =
            (listOf("request_id" to row.event.requestId) + row.event.fields.toList())
                .filter { it.second != null }
                .joinToString("\n") { "${it.first}=${it.second}" }
        return "<g><title>${escaped(detail)}</title>" +
            "<circle cx=\"${x(row.lane)}\" cy=\"${y(index)}\" r=\"4\" fill=\"$color\"/>\n" +
            text(x(row.lane) + 8, y(index) + 4, row.event.name, color) + "</g>\n" +
            text(4, y(index) + 4, "+${row.offsetMs} ms")
    }

    private fun x(lane: Int) = LEFT_PX + lane * LANE_PX + LANE_PX / 8

    private fun y(row: Int) = TOP_PX + (row + 1) * ROW_PX - ROW_PX / 2

    private fun color(requestId: String?): String =
        requestId?.let { COLORS[requests.indexOf(it) % COLORS.size] } ?: "#444444"

    private fun text(xPx: Int, yPx: Int, label: String, color: String = "#222222") =
        "<text x=\"$xPx\" y=\"$yPx\" fill=\"$color\">${escaped(label)}</text>\n"

    private companion object {
        const val LEFT_PX = 90
        const val TOP_PX = 40
        const val LANE_PX = 200
        const val ROW_PX = 20
        const val FAULT_COLOR = "#c62828"
        val COLORS = listOf("#1565c0", "#2e7d32", "#6a1b9a", "#ef6c00", "#00838f", "#5d4037")
    }
}

private fun escaped(text: String): String =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")
