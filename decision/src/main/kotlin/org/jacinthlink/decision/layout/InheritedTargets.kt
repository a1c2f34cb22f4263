package org.jacinthlink.decision.layout

/**
 * Returns the targets with which a router continues if it becomes the leader of the layout, after
 * the current leader has sent [told].
 *
 * Load pattern: two leaders end shortly after each other. A leader that has not planned yet sends
 * no targets, and the targets of its predecessor stay in force.
 *
 * @param known Targets known so far, by the instance id of the server.
 */
fun inheritedTargets(
    known: Map<String, Placement>,
    told: Collection<Placement>
): Map<String, Placement> = if (told.isEmpty()) known else told.associateBy { it.instanceId }
