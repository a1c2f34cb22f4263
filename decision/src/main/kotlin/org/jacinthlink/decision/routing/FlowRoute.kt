package org.jacinthlink.decision.routing

/** Stages that hold all layers of a model in order, and the part of the flow that they carry. */
data class FlowRoute(val stages: List<FlowStage>, val tokensPerSecond: Double)
