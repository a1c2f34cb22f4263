package org.jacinthlink.cli.load

/** One panel of a plot with a line for each name. X values are seconds. */
internal data class SvgPanel(val title: String, val lines: Map<String, List<Pair<Double, Double>>>)
