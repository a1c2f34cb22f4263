package org.jacinthlink.cli.load

import java.util.Locale

/** Writes [panels] below each other, with a common time axis and a legend. */
internal fun svgPlot(panels: List<SvgPanel>): String {
    val names = panels.flatMap { it.lines.keys }.distinct().sorted()
    val points = panels.flatMap { it.lines.values }.flatten()
    val maxX = points.maxOfOrNull { it.first }?.coerceAtLeast(1.0) ?: 1.0
    val heightPx = TOP_PX + panels.size * (PANEL_HEIGHT_PX + GAP_PX) + LEGEND_HEIGHT_PX
    return buildString {
        append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$WIDTH_PX\" ")
        append("height=\"$heightPx\" font-family=\"sans-serif\" font-size=\"12\">\n")
        append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n")
        panels.forEachIndexed { index, panel ->
            val topPx = TOP_PX + index * (PANEL_HEIGHT_PX + GAP_PX)
            append(PanelWriter(panel, names, topPx, maxX).write())
        }
        append(legend(names, heightPx - LEGEND_HEIGHT_PX / 2))
        append("</svg>\n")
    }
}

private fun legend(names: List<String>, yPx: Int): String =
    names
        .mapIndexed { index, name ->
            val xPx = LEFT_PX + index * LEGEND_ENTRY_WIDTH_PX
            "<rect x=\"$xPx\" y=\"${yPx - 10}\" width=\"12\" height=\"12\" " +
                "fill=\"${color(index)}\"/>\n" + text(xPx + 18.0, yPx.toDouble(), name)
        }.joinToString("")

private class PanelWriter(
    private val panel: SvgPanel,
    private val names: List<String>,
    private val topPx: Int,
    private val maxX: Double
) {
    private val bottomPx = topPx + PANEL_HEIGHT_PX
    private val maxY =
        panel.lines.values.flatten().maxOfOrNull { it.second }?.takeIf { it > 0 } ?: 1.0

    fun write(): String =
        text(LEFT_PX.toDouble(), topPx - 8.0, panel.title) + axes() +
            panel.lines.entries.joinToString("") { (name, points) -> line(name, points) }

    private fun axes(): String =
        (0..TICKS).joinToString("") { tick ->
            val share = tick.toDouble() / TICKS
            val yPx = y(maxY * share)
            val xPx = x(maxX * share)
            "<line x1=\"$LEFT_PX\" y1=\"${px(yPx)}\" x2=\"${WIDTH_PX - RIGHT_PX}\" " +
                "y2=\"${px(yPx)}\" stroke=\"#dddddd\"/>\n" +
                text(LEFT_PX - 6.0, yPx + 4, number(maxY * share), "end") +
                text(xPx, bottomPx + 16.0, number(maxX * share) + " s", "middle")
        }

    private fun line(name: String, points: List<Pair<Double, Double>>): String {
        val path = points.joinToString(" ") { (x, y) -> "${px(x(x))},${px(y(y))}" }
        val color = color(names.indexOf(name))
        return "<polyline fill=\"none\" stroke=\"$color\" stroke-width=\"1.5\" " +
            "points=\"$path\"><title>${escaped(name)}</title></polyline>\n"
    }

    private fun x(value: Double) = LEFT_PX + value / maxX * (WIDTH_PX - LEFT_PX - RIGHT_PX)

    private fun y(value: Double) = bottomPx - value / maxY * PANEL_HEIGHT_PX
}

private fun text(xPx: Double, yPx: Double, text: String, anchor: String = "start") =
    "<text x=\"${px(xPx)}\" y=\"${px(yPx)}\" text-anchor=\"$anchor\">${escaped(text)}</text>\n"

private fun px(value: Double) = String.format(Locale.ROOT, "%.1f", value)

private fun number(value: Double) =
    String.format(Locale.ROOT, if (value < 10) "%.1f" else "%.0f", value)

private fun escaped(text: String) =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")

private fun color(index: Int) = COLORS[index % COLORS.size]

private val COLORS =
    listOf("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000")

private const val WIDTH_PX = 900
private const val LEFT_PX = 70
private const val RIGHT_PX = 30
private const val TOP_PX = 30
private const val PANEL_HEIGHT_PX = 220
private const val GAP_PX = 60
private const val LEGEND_HEIGHT_PX = 30
private const val LEGEND_ENTRY_WIDTH_PX = 160
private const val TICKS = 4
