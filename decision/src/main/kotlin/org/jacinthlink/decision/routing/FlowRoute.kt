package org.jacinthlink.decision.routing

/** Stages that together hold all layers of a model, in order, and the flow through them. */
data class FlowRoute(val stages: List<FlowStage>, val tokensPerSecond: Double)
