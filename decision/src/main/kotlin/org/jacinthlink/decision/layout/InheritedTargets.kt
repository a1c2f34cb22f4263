package org.jacinthlink.decision.layout

/**
 * Returns the targets with which a router continues if it becomes the leader of the layout, after
 * the current leader has sent [received].
 *
 * Load pattern: two leaders end shortly after each other. A leader that has not planned yet sends
 * no targets, and the targets of its predecessor stay in force.
 *
 * @param known Targets known so far, by the instance id of the server.
 */
fun inheritedTargets(
    known: Map<String, Placement>,
    received: Collection<Placement>
): Map<String, Placement> =
    if (received.isEmpty()) known else received.associateBy { it.instanceId }
