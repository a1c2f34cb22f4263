package org.jacinthlink.standins

/** Result of checking a batch before it runs. */
internal sealed interface StepCheck {
    /** The batch may run; [positionLayers] is the number of layer runs in it. */
    data class Accepted(val positionLayers: Int) : StepCheck

    /** Nothing of the batch runs. */
    data class Refused(val message: String) : StepCheck

    /** The batch crashes the engine. */
    data object Crash : StepCheck
}
