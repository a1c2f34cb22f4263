package org.jacinthlink.entry.admin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.jacinthlink.api.InstanceDescription
import org.jacinthlink.api.InstanceId
import org.jacinthlink.api.Role
import org.jacinthlink.api.WorkClass
import org.jacinthlink.runtime.events.Event
import org.jacinthlink.runtime.membership.MemberState

/** Body of `PUT /v1/admin/classes/{name}`. */
@Serializable
data class ClassBody(
    val name: String? = null,
    val targetMs: Long,
    val tokenGapMs: Long = WorkClass.DEFAULT_TOKEN_GAP_MS,
    val worth: Int
)

/** Answer to an accepted change. */
@Serializable
data class ChangeAnswer(
    val revision: Long,
    @SerialName("in_force") val inForce: List<InForce>,
    val missing: List<InstanceId>
)

/** Revision in force on [instance]. */
@Serializable
data class InForce(val instance: InstanceId, val revision: Long)

/** Answer to `GET /v1/admin/status`. */
@Serializable
data class StatusAnswer(
    val instance: InstanceId,
    val revision: Long,
    val draining: Boolean,
    val classes: List<ClassStatus>,
    @SerialName("missing_entries") val missingEntries: List<String>,
    val instances: List<InstanceStatus>,
    val models: List<ModelStatus>,
    val quarantine: List<QuarantineStatus>
)

/**
 * A class with its target, and how all answering entries met it over the last minute.
 *
 * @property withinShare Share of the ended requests that were answered within the target; absent
 *   if none ended.
 * @property firstAnswerP95Ms 95th percentile of the time to the first token, or to the whole answer
 *   of a plain call, over the answered requests.
 */
@Serializable
data class ClassStatus(
    @SerialName("class") val workClass: WorkClass,
    val ended: Long,
    @SerialName("within_share") val withinShare: Double? = null,
    @SerialName("first_answer_p95_ms") val firstAnswerP95Ms: Long? = null,
    val refused: Long,
    val failed: Long
)

/**
 * What this entry knows of an instance.
 *
 * @property description Absent if the instance never described itself.
 */
@Serializable
data class InstanceStatus(
    val instance: InstanceId,
    val role: Role,
    @SerialName("availability_zone") val availabilityZone: String,
    val state: MemberState,
    val description: InstanceDescription? = null,
    @SerialName("described_at_ms") val describedAtMs: Long? = null
)

/** Content that is refused, since when and why. */
@Serializable
data class QuarantineStatus(
    val fingerprint: String,
    @SerialName("added_at_ms") val addedAtMs: Long,
    val reason: String
)

/** Plan of one model. [boundTokensPerSecond] is the maximum flow over its stages. */
@Serializable
data class ModelStatus(
    val model: String,
    @SerialName("bound_tokens_per_second") val boundTokensPerSecond: Double,
    val heads: Int,
    val stages: Int,
    val routes: Int
)

/** Answer to `GET /v1/admin/events`. */
@Serializable
data class EventsAnswer(val events: List<Event>, val missing: List<String>)
