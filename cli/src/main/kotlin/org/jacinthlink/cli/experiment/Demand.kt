package org.jacinthlink.cli.experiment

/**
 * Requests of [rank], spread evenly over [workspaces].
 *
 * @property shareOfBound Positions per second, as a share of the bound of the site.
 */
internal data class Demand(val rank: Rank, val shareOfBound: Double, val workspaces: List<String>)
