package org.jacinthlink.decision.layout

/**
 * Targets that a router would go on with if it became the holder of the duty, after the present
 * holder has told [told].
 *
 * Load pattern: two holders end soon after each other. A holder that has not planned yet tells no
 * targets, and those of its predecessor hold on.
 *
 * @param known Targets by the server's instance id, as known before.
 */
fun inheritedTargets(
    known: Map<String, Placement>,
    told: Collection<Placement>
): Map<String, Placement> = if (told.isEmpty()) known else told.associateBy { it.instanceId }
